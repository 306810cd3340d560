//! The platform's host list.

use std::net::SocketAddr;
use std::time::Duration;

use linnet_dispatch::TargetListing;
use ntex::util::Bytes;
use serde::Deserialize;

use super::{AttemptCause, AttemptError, TargetClients};

/// The maximum size of the list.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// The timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct ListBody {
    complete: bool,
    hosts: Vec<ListHost>,
}

#[derive(Deserialize)]
struct ListHost {
    name: String,
    pool: String,
    address: String,
    hall: String,
    state: String,
}

/// The result of one read of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostListRead {
    /// The entries that could be parsed.
    pub listings: Vec<TargetListing>,
    /// Whether the list is complete and every entry could be parsed.
    pub complete: bool,
}

/// Reads the list once, as bytes for [`parse_list`].
///
/// # Errors
///
/// Returns an [`AttemptError`] if the read fails. No target may be removed then.
pub async fn read_list(
    clients: &TargetClients,
    address: SocketAddr,
) -> Result<Bytes, AttemptError> {
    let reading = clients.fetch(address, "/hosts", MAX_LIST_BYTES);
    match tokio::time::timeout(READ_TIMEOUT, reading).await {
        Ok(bytes) => bytes,
        Err(_) => Err(AttemptError::new(AttemptCause::TimedOut)),
    }
}

/// Parses a list.
///
/// # Errors
///
/// Returns an [`AttemptError`] if the bytes are not a host list.
pub fn parse_list(bytes: &[u8]) -> Result<HostListRead, AttemptError> {
    let body: ListBody =
        serde_json::from_slice(bytes).map_err(|_| AttemptError::new(AttemptCause::Malformed))?;
    let count = body.hosts.len();
    let listings: Vec<_> = body.hosts.into_iter().filter_map(parse_host).collect();
    Ok(HostListRead {
        // An entry that cannot be parsed leaves its host unknown, so the read is partial.
        complete: body.complete && listings.len() == count,
        listings,
    })
}

fn parse_host(host: ListHost) -> Option<TargetListing> {
    let leaving = match host.state.as_str() {
        "live" => false,
        "leaving" => true,
        _ => return None,
    };
    Some(TargetListing {
        name: host.name,
        pool: host.pool,
        address: host.address.parse().ok()?,
        hall: host.hall,
        leaving,
    })
}
