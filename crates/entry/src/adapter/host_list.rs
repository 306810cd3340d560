//! The platform's host list.

use std::net::SocketAddr;
use std::time::Duration;

use linnet_dispatch::TargetListing;
use ntex::util::Bytes;
use serde::Deserialize;

use super::{AttemptCause, AttemptError, TargetClients};

/// The largest list, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// The longest time of one read.
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

/// One read of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostListRead {
    /// The hosts that could be read.
    pub listings: Vec<TargetListing>,
    /// Whether the list names every host, and every line of it could be read.
    pub whole: bool,
}

/// Reads the bytes of the list once; [`parse_list`] tells what they mean.
///
/// # Errors
///
/// [`AttemptError`]; nothing is known then, and nothing may be removed.
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
/// [`AttemptError`] where it is no list at all.
pub fn parse_list(bytes: &[u8]) -> Result<HostListRead, AttemptError> {
    let body: ListBody =
        serde_json::from_slice(bytes).map_err(|_| AttemptError::new(AttemptCause::Malformed))?;
    let count = body.hosts.len();
    let listings: Vec<_> = body.hosts.into_iter().filter_map(listing_of).collect();
    Ok(HostListRead {
        // A line that cannot be read leaves its host unknown, so the read is partial.
        whole: body.complete && listings.len() == count,
        listings,
    })
}

fn listing_of(host: ListHost) -> Option<TargetListing> {
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
