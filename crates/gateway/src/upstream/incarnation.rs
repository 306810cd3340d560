//! Connections whose process is known to be the incarnation that a request expects.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, header};
use http_body_util::Full;
use tokio::time::timeout;

use super::UpstreamPool;
use super::connection::{Connection, has_close_option};
use super::exchange_id::IdEcho;
use crate::connection_use::ConnectionUse;
use crate::protocol::TargetProtocol;
use crate::response_body::{MAX_CONTROL_BYTES, read_response_body};
use crate::send_error::{SendError, check_status};
use crate::send_gate::SendGate;
use crate::stated_start::StatedStart;

/// Timeout for the report of a target. A report needs no free slot.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of new connections on which a target is asked for one request. Targets close connections after
/// responses now and then.
const MAX_REPORTS: u32 = 2;

/// How long a target that gave no report is not asked again.
const UNREPORTED_TIME: Duration = Duration::from_secs(2);

impl UpstreamPool {
    /// Opens a connection on which the request of a gate may be sent.
    pub(super) async fn connect_for(
        &self,
        address: SocketAddr,
        gate: &SendGate<'_>,
    ) -> Result<Connection, SendError> {
        for _ in 0..MAX_REPORTS {
            let connection = self.connect(address, ConnectionUse::Request).await?;
            if let Some(connection) = self.check_incarnation(address, connection, gate).await? {
                return Ok(connection);
            }
        }
        self.set_unreported(address);
        if let Some(check) = gate.incarnation() {
            check.accept_unproved()?;
        }
        self.connect(address, ConnectionUse::Request).await
    }

    /// Returns a connection if the request of a gate may be sent on it.
    pub(super) async fn check_incarnation(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        gate: &SendGate<'_>,
    ) -> Result<Option<Connection>, SendError> {
        let Some(check) = gate.incarnation() else {
            return Ok(Some(connection));
        };
        if let Some(protocol) = check.report()
            && connection.stated == StatedStart::Unasked
            && gate.allows_report()
            && !self.is_unreported(address)
        {
            let asked = self.ask_life(address, connection, protocol);
            match timeout(REPORT_TIMEOUT, asked).await {
                Ok(Some(asked)) => connection = asked,
                Ok(None) => return Ok(None),
                Err(_) => {
                    self.set_unreported(address);
                    return Ok(None);
                }
            }
        }
        match check.accept(connection.stated, connection.opened) {
            Ok(true) => Ok(Some(connection)),
            Ok(false) => Ok(None),
            Err(error) => {
                self.keep_idle(address, connection);
                Err(error)
            }
        }
    }

    /// Asks the process that listens at an address whether it started at `born`; returns `None` if it does
    /// not answer in time. One that does not state its start did not.
    pub(crate) async fn has_started_at(
        &self,
        address: SocketAddr,
        protocol: &TargetProtocol,
        born: u64,
    ) -> Option<bool> {
        let connecting = self.connect(address, ConnectionUse::CrashCheck);
        let mut connection = timeout(REPORT_TIMEOUT, connecting).await.ok()?.ok()?;
        let asked = self.ask_start(address, &mut connection, protocol);
        let head = timeout(REPORT_TIMEOUT, asked).await.ok()?;
        let has_started = head.is_some() && connection.stated == StatedStart::Stated(born);
        if head.is_some_and(|head| !has_close_option(&head)) && connection.wait_ready().await {
            self.keep_idle(address, connection);
        }
        Some(has_started)
    }

    fn set_unreported(&self, address: SocketAddr) {
        let until = Instant::now() + UNREPORTED_TIME;
        self.state.borrow_mut().unreported.insert(address, until);
    }

    fn is_unreported(&self, address: SocketAddr) -> bool {
        let until = self.state.borrow().unreported.get(&address).copied();
        until.is_some_and(|until| until > Instant::now())
    }

    /// Asks the process at the other end of a connection when it started; returns `None` if the connection
    /// cannot be used afterwards.
    async fn ask_life(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        protocol: &TargetProtocol,
    ) -> Option<Connection> {
        let head = self.ask_start(address, &mut connection, protocol).await?;
        if has_close_option(&head) {
            return None;
        }
        connection.sender.ready().await.ok()?;
        Some(connection)
    }

    /// Asks the process at the other end of a connection when it started, and notes what it states; returns
    /// the headers of its response, or `None` if the response is not that to the question.
    async fn ask_start(
        &self,
        address: SocketAddr,
        connection: &mut Connection,
        protocol: &TargetProtocol,
    ) -> Option<HeaderMap> {
        let mut request = Request::get(protocol.report_path)
            .header(header::HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .ok()?;
        let id = self.ids.assign(request.headers_mut());
        let response = self.exchange_head(address, connection, request).await;
        let (head, body) = response.ok()?.into_parts();
        check_status(head.status).ok()?;
        let body = read_response_body(body, MAX_CONTROL_BYTES, self.held())
            .await
            .ok()?;
        match self.ids.echo_of(&head.headers, &id) {
            IdEcho::Same => {}
            // Nothing else was asked on the connection, so the response is that to the question.
            IdEcho::Missing if connection.last_id.is_none() => {}
            IdEcho::Missing | IdEcho::Foreign(_) => return None,
        }
        connection.last_id = Some(id);
        let born = head
            .status
            .is_success()
            .then(|| (protocol.decode_born)(&body));
        connection.stated = match born.flatten() {
            Some(born) if born > 0 => StatedStart::Stated(born),
            _ => StatedStart::Unstated,
        };
        Some(head.headers)
    }
}

#[cfg(test)]
mod tests;
