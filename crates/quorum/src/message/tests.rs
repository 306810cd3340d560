//! The shipped encodings of messages between replicas and of their records on disk. Existing lines
//! never change; a new message version gets lines of its own.

use std::net::SocketAddr;

use super::*;
use crate::storage::{StoredRecord, StoredSnapshot};
use crate::{LogPayload, Member, MemberChange};

fn hex<M: Serialize>(message: &M) -> String {
    let bytes = postcard::to_stdvec(message).unwrap();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn member() -> Member {
    Member {
        id: NodeId(300),
        name: "control-0".to_owned(),
        hall: "hall-1".to_owned(),
        peer: SocketAddr::from(([10, 0, 0, 7], 9_200)),
        ops: SocketAddr::from(([10, 0, 0, 7], 9_100)),
        replaces: Some(NodeId(7)),
    }
}

fn members() -> Members {
    Members {
        voters: vec![member()],
        learners: vec![member()],
    }
}

const POSITION: LogPosition = LogPosition {
    index: 300,
    term: 7,
};

fn entries() -> Vec<LogEntry> {
    let payloads = [
        LogPayload::Noop,
        LogPayload::Members(members()),
        LogPayload::Command(vec![1, 2, 3]),
    ];
    let entry = |payload| LogEntry {
        index: 301,
        term: 7,
        payload,
    };
    payloads.into_iter().map(entry).collect()
}

fn requests() -> Vec<PeerRequest> {
    let vote = VoteRequest {
        term: 7,
        last: POSITION,
        leaderless: true,
    };
    vec![
        PeerRequest::PreVote(vote),
        PeerRequest::Vote(vote),
        PeerRequest::Heartbeat {
            term: 7,
            commit: 300,
        },
        PeerRequest::AppendEntries {
            term: 7,
            previous: POSITION,
            entries: entries(),
            commit: 300,
        },
        PeerRequest::InstallSnapshot {
            term: 7,
            last: POSITION,
            members: members(),
            offset: 128,
            chunk: vec![1, 2, 3],
            done: true,
        },
    ]
}

fn replies() -> Vec<PeerReply> {
    vec![
        PeerReply::Vote {
            term: 7,
            granted: true,
            leaderless: false,
        },
        PeerReply::Acknowledged { term: 7 },
        PeerReply::Matched {
            term: 7,
            index: 300,
        },
        PeerReply::Mismatch { term: 7, next: 299 },
        PeerReply::WrongReplica,
        PeerReply::Refused,
    ]
}

#[test]
fn message_bytes_match_the_shipped_format() {
    let addressed = |request| AddressedRequest {
        cluster: 5,
        from: NodeId(300),
        to: NodeId(7),
        request,
    };
    let requests = requests().into_iter().map(addressed);
    let requests = requests.map(|one| format!("request {}", hex(&one)));
    let replies = replies();
    let replies = replies.iter().map(|one| format!("reply {}", hex(one)));
    let changes = [
        MemberChange::Add(member()),
        MemberChange::Promote(NodeId(7)),
        MemberChange::Remove(NodeId(7)),
    ];
    let changes = changes.iter().map(|one| format!("change {}", hex(one)));
    let lines: Vec<String> = requests.chain(replies).chain(changes).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn stored_record_bytes_match_the_shipped_format() {
    let mut lines = vec![
        hex(&StoredRecord::Ballot {
            term: 7,
            vote: Some(NodeId(300)),
        }),
        hex(&StoredRecord::Truncate { from: 299 }),
        hex(&StoredSnapshot {
            last: POSITION,
            members: members(),
            log_base: POSITION,
            base_members: members(),
            state: vec![1, 2, 3],
        }),
    ];
    let entries = entries().into_iter().map(StoredRecord::Entry);
    lines.extend(entries.map(|one| hex(&one)));
    insta::assert_snapshot!(lines.join("\n"));
}
