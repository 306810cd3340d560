//! Not a case: shows inside one process what no day and no script of the allowed kinds could show.
//! A follower acknowledges an entry before its disk has synced it, if the leader sends the entry again
//! on a new connection. To run it, copy this file to `crates/quorum/tests/` and start
//! `cargo test --locked -p linnet-quorum --test unsynced_ack`. It fails on the reviewed code.

#![allow(clippy::unwrap_used)]
use linnet_journal::DiskOps;
use linnet_quorum::*;
use linnet_telemetry::{EventRecorder, HybridClock};
use linnet_wire::{PeerGreeting, PeerIdentity, PeerKey, PeerKeyRing, accept_peer, connect_peer};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

#[derive(Serialize, Deserialize)]
struct Addressed {
    cluster: u64,
    from: NodeId,
    to: NodeId,
    request: PeerRequest,
}

fn identity(name: &str) -> PeerIdentity {
    PeerIdentity {
        name: name.into(),
        keys: PeerKeyRing::new(vec![PeerKey::new("k", [7; 32])]),
        clock: Arc::new(HybridClock::new()),
    }
}

#[test]
fn a_follower_acknowledges_an_entry_that_is_not_synced() {
    let system = ntex::rt::System::new("t", ntex::rt::DefaultRuntime);
    system.block_on(async {
        let dir = tempfile::tempdir().unwrap();
        let stalled = Arc::new(AtomicBool::new(false));
        let syncs = Arc::new(AtomicU32::new(0));
        let (s, n) = (stalled.clone(), syncs.clone());
        let disk = DiskOps::new().with_sync(move |file| {
            while s.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(5));
            }
            n.fetch_add(1, Ordering::Relaxed);
            file.sync_data()
        });
        let replica = Replica::start(
            dir.path(),
            StateMachineHooks::new(|_, _| Vec::new(), || Vec::new(), |_| ()),
            ReplicaConfig {
                identity: identity("f"),
                recorder: Arc::new(EventRecorder::new("f", Arc::new(HybridClock::new()))),
                timing: QuorumTiming::new(),
                disk,
                on_fatal: Box::new(|e| panic!("{e}")),
            },
        )
        .unwrap();
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let me = replica.status().id;
        let member = |id: NodeId, name: &str| Member {
            id,
            name: name.into(),
            hall: "h".into(),
            peer: address,
            ops: address,
            replaces: None,
        };
        let leader = NodeId(1);
        let founders = Members {
            voters: vec![member(leader, "l"), member(me, "f"), member(NodeId(2), "g")],
            learners: vec![],
        };
        replica.form_cluster(9, founders).await.unwrap();
        let serving = replica.clone();
        ntex::rt::spawn(async move {
            loop {
                let (socket, from) = listener.accept().await.unwrap();
                let replica = serving.clone();
                ntex::rt::spawn(async move {
                    let (mut reader, writer) =
                        accept_peer(&identity("f"), socket, from).await.unwrap();
                    let _: PeerGreeting = reader.receive().await.unwrap();
                    let _ = serve_peer(&replica, reader, writer).await;
                });
            }
        });
        let append = || Addressed {
            cluster: 9,
            from: leader,
            to: me,
            request: PeerRequest::AppendEntries {
                term: 2,
                previous: LogPosition { term: 1, index: 1 },
                entries: vec![LogEntry {
                    index: 2,
                    term: 2,
                    payload: LogPayload::Command(b"accepted".to_vec()),
                }],
                commit: 1,
            },
        };
        stalled.store(true, Ordering::Relaxed);
        let before = syncs.load(Ordering::Relaxed);
        let (_r1, mut w1) = connect_peer(&identity("l"), address).await.unwrap();
        w1.send(&PeerGreeting::Quorum).await.unwrap();
        w1.send(&append()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(200)).await;
        drop((_r1, w1));
        let (mut r2, mut w2) = connect_peer(&identity("l"), address).await.unwrap();
        w2.send(&PeerGreeting::Quorum).await.unwrap();
        w2.send(&append()).await.unwrap();
        let reply =
            tokio::time::timeout(Duration::from_millis(1_500), r2.receive::<PeerReply>()).await;
        let done = syncs.load(Ordering::Relaxed) - before;
        eprintln!("reply {reply:?}, syncs since the stall began: {done}");
        stalled.store(false, Ordering::Relaxed);
        let acknowledged = matches!(reply, Ok(Ok(PeerReply::Matched { index: 2, .. })));
        assert!(
            !(acknowledged && done == 0),
            "acknowledged an entry that no sync covers"
        );
    });
}
