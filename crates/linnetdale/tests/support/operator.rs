//! Requests of operators.

use std::net::SocketAddr;
use std::time::Duration;

use linnetdale::control::{ChangeResponse, ControlStatus, FormClusterRequest};
use linnetdale::entry::EntryStatus;
use linnetdale::quorum::{Member, MemberChange, Members};
use linnetdale::table::{AccountRow, KeyDigest, TableChange, TableRow, parse_csv};
use linnetdale::telemetry::Event;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Operator key of all tests.
pub const OPERATOR_KEY: &str = "test-operator";

/// HTTP client for the operators' ports of hosts.
#[derive(Clone)]
pub struct Operator {
    agent: ureq::Agent,
}

impl Operator {
    pub fn new() -> Self {
        Self::with_timeout(Duration::from_secs(7))
    }

    pub fn with_timeout(timeout: Duration) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(timeout))
            .max_idle_connections(0)
            .build()
            .into();
        Self { agent }
    }

    pub fn get<T: DeserializeOwned>(&self, host: SocketAddr, path: &str) -> Option<T> {
        let mut response = self
            .agent
            .get(format!("http://{host}{path}"))
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .call()
            .ok()?;
        (response.status() == 200).then(|| response.body_mut().read_json().ok())?
    }

    pub fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        host: SocketAddr,
        path: &str,
        body: &B,
    ) -> Option<(u16, T)> {
        let mut response = self
            .agent
            .post(format!("http://{host}{path}"))
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .send_json(body)
            .ok()?;
        let status = response.status().as_u16();
        Some((status, response.body_mut().read_json().ok()?))
    }

    pub fn control_status(&self, host: SocketAddr) -> Option<ControlStatus> {
        self.get(host, "/v1/status")
    }

    pub fn entry_status(&self, host: SocketAddr) -> Option<EntryStatus> {
        self.get(host, "/v1/status")
    }

    pub fn timeline(&self, host: SocketAddr) -> Vec<Event> {
        self.get(host, "/v1/timeline").unwrap_or_default()
    }

    /// Returns the table of one host, possibly stale, with its version.
    pub fn table(&self, host: SocketAddr) -> Option<(u64, Vec<TableRow>)> {
        let mut response = self
            .agent
            .get(format!("http://{host}/v1/table?stale=1"))
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .call()
            .ok()?;
        let version = response
            .headers()
            .get("x-table-version")?
            .to_str()
            .ok()?
            .parse()
            .ok()?;
        let body = response
            .body_mut()
            .with_config()
            .limit(200 << 20)
            .read_to_string()
            .ok()?;
        Some((version, parse_csv(&body).rows))
    }

    /// Returns the version of the table if the host can serve an authoritative read.
    pub fn authoritative_version(&self, host: SocketAddr) -> Option<u64> {
        let response = self
            .agent
            .get(format!("http://{host}/v1/table"))
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .call()
            .ok()?;
        let version = response.headers().get("x-table-version")?;
        version.to_str().ok()?.parse().ok()
    }

    pub fn change(&self, host: SocketAddr, change: &TableChange) -> Option<ChangeResponse> {
        Some(self.post(host, "/v1/changes", change)?.1)
    }

    pub fn change_member(&self, host: SocketAddr, change: &MemberChange) -> Option<u16> {
        let (status, _): (u16, serde_json::Value) = self.post(host, "/v1/members", change)?;
        Some(status)
    }

    /// Forms a cluster of new control hosts.
    pub fn form(&self, hosts: &[SocketAddr]) {
        let voters: Vec<Member> = hosts
            .iter()
            .map(|host| super::wait_for("a control host answers", || self.control_status(*host)))
            .map(|status| member_of(&status))
            .collect();
        let request = FormClusterRequest {
            cluster: 77,
            founders: Members {
                voters,
                learners: Vec::new(),
            },
        };
        for host in hosts {
            let (status, _): (u16, serde_json::Value) =
                self.post(*host, "/v1/form", &request).unwrap();
            assert_eq!(status, 200);
        }
    }
}

pub fn member_of(status: &ControlStatus) -> Member {
    Member {
        id: status.replica.id,
        name: status.name.clone(),
        hall: status.hall.clone(),
        peer: status.peer,
        ops: status.ops,
        replaces: None,
    }
}

/// Returns an account row whose name and key identify the change that adds it.
pub fn account_row(name: &str, weight: u32) -> TableRow {
    TableRow::Account(AccountRow {
        account: name.to_owned(),
        weight,
        limits: Default::default(),
        key_digests: vec![KeyDigest::of_key(format!("{name}-key").as_bytes())],
    })
}

/// Returns a change that adds one account.
pub fn add_account(name: &str, base_version: u64) -> TableChange {
    TableChange {
        change_key: format!("add {name}"),
        author: "test".to_owned(),
        base_version,
        rebase: true,
        upserts: vec![account_row(name, 1)],
        deletes: Vec::new(),
    }
}
