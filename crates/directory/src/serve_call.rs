//! Executes calls on a control host.

use std::time::Duration;

use linnet_quorum::{MemberChange, ProposeError};
use linnet_wire::{PeerReader, PeerWriter, WireError};
use tokio::time::timeout;

use crate::DirectoryNode;
use crate::message::{DirectoryCall, DirectoryReply};

/// How long a voter must be silent before a new control host replaces it.
const VOTER_LOST_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout for receiving the request of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Receives one call and sends its reply.
///
/// # Errors
///
/// Returns the [`WireError`] of the connection.
pub async fn serve_call(
    node: &DirectoryNode,
    mut reader: PeerReader,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    let Ok(request) = timeout(CALL_TIMEOUT, reader.receive::<DirectoryCall>()).await else {
        return Ok(());
    };
    let reply = execute_call(node, request?).await;
    writer.send(&reply).await
}

async fn execute_call(node: &DirectoryNode, request: DirectoryCall) -> DirectoryReply {
    match request {
        DirectoryCall::Identify => {
            let status = node.replica().status();
            DirectoryReply::Identity {
                member: node.member(),
                cluster: status.cluster,
                members: status.members,
                leader: status.leader,
                founding_only: status.last.index == 1,
                last: status.last.index,
            }
        }
        DirectoryCall::Form { cluster, founders } => {
            match node.replica().form_cluster(cluster, founders).await {
                Ok(()) => DirectoryReply::Done,
                Err(error) => DirectoryReply::Refused(error.to_string()),
            }
        }
        DirectoryCall::Join(mut member) => {
            if member.replaces.is_none() {
                // A new host joins because one was lost, so it replaces a silent voter.
                member.replaces = node
                    .replica()
                    .silent_voters(VOTER_LOST_TIMEOUT)
                    .first()
                    .copied();
            }
            let change = MemberChange::Add(member);
            to_reply(
                node.replica()
                    .change_members(&change)
                    .await
                    .map(|()| Vec::new()),
            )
        }
        DirectoryCall::Command(command) => to_reply(node.replica().propose(command).await),
    }
}

fn to_reply(outcome: Result<Vec<u8>, ProposeError>) -> DirectoryReply {
    match outcome {
        Ok(reply) => DirectoryReply::Command(reply),
        Err(ProposeError::NotLeader { leader }) => {
            DirectoryReply::NotLeader(leader.map(|member| member.peer))
        }
        Err(error) => DirectoryReply::Refused(error.to_string()),
    }
}
