//! Connections that carry releases of results and nothing else.
//!
//! Targets may echo no identifier in responses to releases. Such a response could be a surplus one to an
//! earlier request, so its connection cannot carry requests whose responses matter. That of a release
//! decides nothing, so releases share connections of their own.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http::response::Parts;
use http_body_util::Full;

use super::UpstreamPool;
use super::connection::{Connection, has_close_option};
use super::exchange_id::IdEcho;
use crate::connection_use::ConnectionUse;
use crate::response_body::{MAX_CONTROL_BYTES, read_response_body};
use crate::send_error::{SendError, check_status};
use crate::send_gate::SendGate;

/// Maximum number of idle connections to a target. A release takes a round trip, so two carry hundreds a
/// second; more of them are left over from a burst.
const MAX_IDLE_CONNECTIONS: usize = 2;

impl UpstreamPool {
    /// Sends a release. Returns the head of the response if it belongs to the request; on a connection
    /// that was used before, a response without an identifier may belong to an earlier release.
    ///
    /// # Errors
    ///
    /// [`SendError`] if the target did not respond; the release is not repeated.
    pub(crate) async fn send_release(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        mut gate: SendGate<'_>,
    ) -> Result<Option<Parts>, SendError> {
        let id = self.ids.assign(request.headers_mut());
        let (mut connection, response) = loop {
            let idle = self.take_release_idle(address);
            let was_idle = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.connect(address, ConnectionUse::Release).await?,
            };
            if let Err(error) = gate.begin_send() {
                self.keep_release_idle(address, connection);
                return Err(error);
            }
            match self.exchange_head(address, &mut connection, request).await {
                Ok(response) => break (connection, response),
                Err(mut error) => match error.take_message() {
                    // The idle connection was already closed.
                    Some(unsent) if was_idle => request = unsent,
                    _ => return Err(SendError::may_have_run(&error.into_error())),
                },
            }
        };
        let (head, body) = response.into_parts();
        check_status(head.status)?;
        let is_own = match self.ids.echo_of(&head.headers, &id) {
            IdEcho::Same => true,
            IdEcho::Missing => connection.last_id.is_none(),
            IdEcho::Foreign(cause) => {
                gate.record_foreign_response(cause, &id);
                return Err(SendError::Foreign(cause));
            }
        };
        let body = read_response_body(body, MAX_CONTROL_BYTES, self.held()).await;
        if body.is_ok() && !has_close_option(&head.headers) {
            connection.last_id = Some(id);
            connection.begin_idle(&head.headers);
            if connection.wait_ready().await {
                self.keep_release_idle(address, connection);
            }
        }
        Ok(is_own.then_some(head))
    }

    fn keep_release_idle(&self, address: SocketAddr, connection: Connection) {
        let mut state = self.state.borrow_mut();
        let idle = state.release_idle.entry(address).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Returns a connection on which only releases were sent.
    fn take_release_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut state = self.state.borrow_mut();
        let idle = state.release_idle.get_mut(&address)?;
        while let Some(connection) = idle.pop() {
            if self.is_usable(address, &connection) {
                return Some(connection);
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
