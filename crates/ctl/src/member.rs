//! Lists and changes the members of the quorum.

use std::net::SocketAddr;

use linnet_control::ControlStatus;
use linnet_quorum::{Member, MemberChange, Members};
use ntex::http::Method;

use crate::client::{OpsClient, error_text};
use crate::form::member_of;
use crate::settings::MemberCommand;
use crate::{CtlError, CtlStep};

/// Runs a command on the members.
pub(crate) async fn run_member(client: &OpsClient, command: MemberCommand) -> Result<(), CtlError> {
    match command {
        MemberCommand::List => list_members(client).await,
        MemberCommand::Add { ops, peer } => {
            let status: ControlStatus = client.get(ops, "/v1/status").await?;
            let member = Member {
                peer,
                ops,
                ..member_of(&status)
            };
            change(client, MemberChange::Add(member)).await
        }
        MemberCommand::Remove { name } => {
            let members = current_members(client).await?;
            let member = find_by_name(&members, &name)?;
            change(client, MemberChange::Remove(member.id)).await
        }
        MemberCommand::Repair { ops } => repair(client, ops).await,
    }
}

async fn list_members(client: &OpsClient) -> Result<(), CtlError> {
    let members = current_members(client).await?;
    for (kind, list) in [("voter", &members.voters), ("learner", &members.learners)] {
        for member in list {
            println!(
                "{kind} {} {} hall={} peer={}",
                member.name, member.id, member.hall, member.peer
            );
        }
    }
    Ok(())
}

/// Adds a host under its new identity, which replaces the former identity with the same name.
async fn repair(client: &OpsClient, ops: SocketAddr) -> Result<(), CtlError> {
    let status: ControlStatus = client.get(ops, "/v1/status").await?;
    let members = current_members(client).await?;
    if members.find(status.replica.id).is_some() {
        println!(
            "{} is a member already, as {}",
            status.name, status.replica.id
        );
        return Ok(());
    }
    let former = find_by_name(&members, &status.name)?;
    let member = Member {
        replaces: Some(former.id),
        ..member_of(&status)
    };
    change(client, MemberChange::Add(member)).await
}

async fn change(client: &OpsClient, change: MemberChange) -> Result<(), CtlError> {
    let response = client
        .send_to_leader(Method::POST, "/v1/members", Some(&change))
        .await?;
    if response.status != 200 {
        return Err(CtlError::failed(CtlStep::Apply, "", error_text(&response)));
    }
    println!("accepted; a new member votes once it has caught up (see `linnetctl member list`)");
    Ok(())
}

/// Returns the members as known to the host with the newest log.
async fn current_members(client: &OpsClient) -> Result<Members, CtlError> {
    let statuses = client.all_statuses().await?;
    let received = statuses.into_iter().filter_map(|(_, status)| status.ok());
    received
        .filter(|status| status.replica.cluster.is_some())
        .max_by_key(|status| {
            (
                status.replica.lease_lasts,
                status.replica.term,
                status.replica.commit,
            )
        })
        .map(|status| status.replica.members)
        .ok_or_else(|| CtlError::failed(CtlStep::Request, "", "no control host responded"))
}

fn find_by_name<'a>(members: &'a Members, name: &str) -> Result<&'a Member, CtlError> {
    let mut all = members.all();
    all.find(|member| member.name == name)
        .ok_or_else(|| CtlError::failed(CtlStep::Check, name, "no member has this name"))
}
