//! Receives and applies the table from one source.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use linnet_table::TableStore;
use linnet_wire::{PeerGreeting, PeerIdentity, PeerReader, PeerWriter, WireError, connect_peer};
use tokio::time::sleep;

use crate::serve::HEARTBEAT_INTERVAL;
use crate::{FeedMessage, FollowHello, FollowReport, TableFeed};

/// Time without a byte after which a source counts as stopped or unreachable.
const SOURCE_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Why [`follow_source`] ended.
#[derive(Debug)]
pub enum FollowError {
    /// The connection failed.
    Wire(WireError),
    /// The source sent a change that does not follow the version in force.
    OutOfOrder,
}

impl fmt::Display for FollowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FollowError::Wire(error) => write!(f, "{error}"),
            FollowError::OutOfOrder => f.write_str("the source sent a change out of order"),
        }
    }
}

impl std::error::Error for FollowError {}

impl From<WireError> for FollowError {
    fn from(error: WireError) -> Self {
        FollowError::Wire(error)
    }
}

/// Follows one source until the connection is lost. `on_version` is called with the version of the
/// source for each message, `report` returns the report that is sent to the source periodically.
///
/// # Errors
///
/// [`FollowError`]; the changes applied so far stay in force.
pub async fn follow_source(
    feed: &TableFeed,
    identity: &PeerIdentity,
    source: SocketAddr,
    on_version: impl Fn(u64),
    report: impl Fn() -> FollowReport,
) -> Result<(), FollowError> {
    let (reader, writer) = connect_peer(identity, source).await?;
    let reader = reader.with_silence_timeout(SOURCE_SILENCE_TIMEOUT);
    let mut writer = writer.with_silence_timeout(SOURCE_SILENCE_TIMEOUT);
    writer.send(&PeerGreeting::Follow).await?;
    let have_version = feed.version();
    writer.send(&FollowHello { have_version }).await?;
    tokio::select! {
        result = receive_messages(feed, reader, on_version) => result,
        result = send_reports(writer, report) => result,
    }
}

async fn send_reports(
    mut writer: PeerWriter,
    report: impl Fn() -> FollowReport,
) -> Result<(), FollowError> {
    loop {
        writer.send(&report()).await?;
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn receive_messages(
    feed: &TableFeed,
    mut reader: PeerReader,
    on_version: impl Fn(u64),
) -> Result<(), FollowError> {
    let mut image: Option<TableStore> = None;
    loop {
        match reader.receive::<FeedMessage>().await? {
            FeedMessage::Delta { version, change } => {
                // A change that was already received from another source is skipped.
                if version > feed.version() && !feed.apply_checked_change(version, change) {
                    return Err(FollowError::OutOfOrder);
                }
                on_version(version);
            }
            FeedMessage::ImageStart => image = Some(TableStore::new()),
            FeedMessage::ImageRows(rows) => match &mut image {
                Some(image) => image.add_snapshot_rows(rows),
                None => return Err(FollowError::OutOfOrder),
            },
            FeedMessage::ImageEnd {
                version,
                tombstones,
            } => {
                let mut complete = image.take().ok_or(FollowError::OutOfOrder)?;
                complete.finish_snapshot(version, tombstones);
                feed.apply_image(complete);
                on_version(version);
            }
            FeedMessage::Heartbeat {
                version,
                entry_hosts,
            } => {
                feed.set_entry_host_count(entry_hosts);
                on_version(version);
            }
        }
    }
}
