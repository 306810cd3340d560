//! Sends the table and its changes to one follower.

use std::sync::Arc;
use std::time::Duration;

use linnet_wire::{PeerReader, PeerWriter, WireError};
use tokio::time::timeout;

use crate::{FeedMessage, FeedStep, FollowHello, FollowReport, TableFeed};

/// Interval of heartbeats from a source without new changes, and of reports from a follower.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a byte received from or accepted by a follower after which it counts as gone.
const FOLLOWER_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves one follower until its connection ends. `on_report` is called with each report of the
/// follower.
///
/// # Errors
///
/// [`WireError`] of the connection.
pub async fn serve_follower(
    feed: &Arc<TableFeed>,
    reader: PeerReader,
    writer: PeerWriter,
    on_report: impl Fn(FollowReport),
) -> Result<(), WireError> {
    let mut reader = reader.with_silence_timeout(FOLLOWER_SILENCE_TIMEOUT);
    let writer = writer.with_silence_timeout(FOLLOWER_SILENCE_TIMEOUT);
    let hello: FollowHello = reader.receive().await?;
    let sending = send_changes(feed, hello.have_version, writer);
    let reports = receive_reports(reader, on_report);
    // The first of the two to end closes the connection, since both halves are dropped together.
    tokio::select! {
        result = sending => result,
        result = reports => result,
    }
}

async fn receive_reports(
    mut reader: PeerReader,
    on_report: impl Fn(FollowReport),
) -> Result<(), WireError> {
    loop {
        on_report(reader.receive().await?);
    }
}

async fn send_changes(
    feed: &TableFeed,
    mut sent: u64,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    let mut versions = feed.subscribe();
    loop {
        versions.mark_unchanged();
        match feed.next_step(sent) {
            FeedStep::Deltas(deltas) => {
                for (version, change) in deltas {
                    let change = change.as_ref().clone();
                    writer.send(&FeedMessage::Delta { version, change }).await?;
                    sent = version;
                }
            }
            FeedStep::Image => sent = send_image(feed, &mut writer).await?,
            FeedStep::Current => {
                if timeout(HEARTBEAT_INTERVAL, versions.changed())
                    .await
                    .is_err()
                {
                    let (version, entry_hosts) = (feed.version(), feed.entry_host_count());
                    writer
                        .send(&FeedMessage::Heartbeat {
                            version,
                            entry_hosts,
                        })
                        .await?;
                }
            }
        }
    }
}

async fn send_image(feed: &TableFeed, writer: &mut PeerWriter) -> Result<u64, WireError> {
    let image = feed.image();
    writer.send(&FeedMessage::ImageStart).await?;
    for part in &image.parts {
        writer.send(&FeedMessage::ImageRows(part.clone())).await?;
    }
    let end = FeedMessage::ImageEnd {
        version: image.version,
        tombstones: image.tombstones.clone(),
    };
    writer.send(&end).await?;
    Ok(image.version)
}
