//! Forms a cluster of blank control hosts.

use std::net::SocketAddr;

use linnet_control::{ControlStatus, FormClusterRequest};
use linnet_quorum::{Member, Members};
use ntex::http::Method;
use ntex::util::Bytes;

use crate::client::{OpsClient, error_text};
use crate::{CtlError, CtlStep};

/// Forms a cluster of the hosts named by `--control`. After a partial failure it can be run again
/// and continues with the same cluster.
pub(crate) async fn form_cluster(client: &OpsClient) -> Result<(), CtlError> {
    let mut found: Vec<(SocketAddr, ControlStatus)> = Vec::new();
    for (host, status) in client.all_statuses().await? {
        found.push((host, status?));
    }
    let formed = found
        .iter()
        .find(|(_, status)| status.replica.cluster.is_some());
    let request = match formed {
        Some((host, status)) => resume_cluster(*host, status, &found)?,
        None => new_cluster(&found)?,
    };
    let body = serde_json::to_vec(&request)
        .map_err(|error| CtlError::failed(CtlStep::Apply, "", error.to_string()))?;
    for (host, status) in &found {
        let response = client
            .send(*host, Method::POST, "/v1/form", Bytes::from(body.clone()))
            .await?;
        if response.status != 200 {
            let message = error_text(&response);
            return Err(CtlError::failed(
                CtlStep::Apply,
                status.name.clone(),
                message,
            ));
        }
    }
    println!(
        "cluster {:016x} with {} voters",
        request.cluster,
        found.len()
    );
    Ok(())
}

fn new_cluster(found: &[(SocketAddr, ControlStatus)]) -> Result<FormClusterRequest, CtlError> {
    let cluster = getrandom::u64()
        .map_err(|error| CtlError::failed(CtlStep::Apply, "", error.to_string()))?;
    let voters = found.iter().map(|(_, status)| member_of(status));
    Ok(FormClusterRequest {
        cluster,
        founders: Members {
            voters: voters.collect(),
            learners: Vec::new(),
        },
    })
}

// Only identities that are founders may be formed: a host whose disk was wiped since the founding
// has a new identity and must be repaired instead.
fn resume_cluster(
    host: SocketAddr,
    formed: &ControlStatus,
    found: &[(SocketAddr, ControlStatus)],
) -> Result<FormClusterRequest, CtlError> {
    let members = &formed.replica.members;
    let non_founder = found
        .iter()
        .find(|(_, status)| !members.is_voter(status.replica.id));
    if let Some((_, non_founder)) = non_founder {
        let message = format!(
            "{} is no founder of the cluster that was begun here; see `linnetctl member repair`",
            non_founder.name
        );
        return Err(CtlError::failed(CtlStep::Check, host.to_string(), message));
    }
    Ok(FormClusterRequest {
        cluster: formed.replica.cluster.unwrap_or_default(),
        founders: members.clone(),
    })
}

/// Converts the status of a control host into a cluster member.
pub(crate) fn member_of(status: &ControlStatus) -> Member {
    Member {
        id: status.replica.id,
        name: status.name.clone(),
        hall: status.hall.clone(),
        peer: status.peer,
        ops: status.ops,
        replaces: None,
    }
}
