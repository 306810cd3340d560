//! Handshake, frames, datagrams and key rotation over real sockets.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use linnet_telemetry::HybridClock;
use linnet_wire::{
    PeerIdentity, PeerKey, PeerKeyRing, PeerReader, PeerWriter, WireCause, WireError, accept_peer,
    connect_peer, open_datagram, seal_datagram,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

fn key(id: &str) -> PeerKey {
    PeerKey::new(id, *blake3::hash(id.as_bytes()).as_bytes())
}

fn identity(name: &str, keys: Vec<PeerKey>) -> PeerIdentity {
    PeerIdentity {
        name: name.to_owned(),
        keys: PeerKeyRing::new(keys),
        clock: Arc::new(HybridClock::new()),
    }
}

type Ends = (
    Result<(PeerReader, PeerWriter), WireError>,
    Result<(PeerReader, PeerWriter), WireError>,
);

async fn join(calling: PeerIdentity, accepting: PeerIdentity) -> Ends {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accept = async {
        let (socket, from) = listener.accept().await.unwrap();
        accept_peer(&accepting, socket, from).await
    };
    tokio::join!(connect_peer(&calling, address), accept)
}

#[ntex::test]
async fn messages_are_transferred_both_ways_with_names_and_stamps() {
    let calling = identity("entry-1", vec![key("k1")]);
    let accepting = identity("control-1", vec![key("k1")]);
    calling
        .clock
        .observe(accepting.clock.tick() + (5_000 << 16));
    let (left, right) = join(calling.clone(), accepting.clone()).await;
    let (mut left_reader, mut left_writer) = left.unwrap();
    let (mut right_reader, mut right_writer) = right.unwrap();
    assert_eq!(left_reader.peer(), "control-1");
    assert_eq!(right_reader.peer(), "entry-1");
    for number in 0..100_u32 {
        left_writer.send(&(number, "question")).await.unwrap();
        let (got, _): (u32, String) = right_reader.receive().await.unwrap();
        right_writer.send(&(got + 1)).await.unwrap();
        assert_eq!(left_reader.receive::<u32>().await.unwrap(), number + 1);
    }
    let before = calling.clock.tick();
    left_writer.send(&1_u8).await.unwrap();
    right_reader.receive::<u8>().await.unwrap();
    assert!(accepting.clock.tick() > before);
}

#[ntex::test]
async fn keys_are_rotated_without_a_restart_and_unknown_keys_are_rejected() {
    let (old, new, other) = (key("k1"), key("k2"), key("k1-other"));
    let forged = PeerKey::new("k1", [9; 32]);
    // (keys of the calling end, keys of the accepting end, whether the handshake succeeds)
    let cases = [
        (vec![old.clone()], vec![old.clone(), new.clone()], true),
        (
            vec![new.clone(), old.clone()],
            vec![old.clone(), new.clone()],
            true,
        ),
        (vec![new.clone()], vec![new.clone(), old.clone()], true),
        (vec![new.clone()], vec![old.clone()], false),
        (vec![other], vec![old.clone()], false),
        (vec![forged], vec![old.clone()], false),
    ];
    for (number, (calling, accepting, succeeds)) in cases.into_iter().enumerate() {
        let (left, right) = join(identity("a", calling), identity("b", accepting)).await;
        assert_eq!(left.is_ok() && right.is_ok(), succeeds, "case {number}");
    }
}

/// Forwards one connection to `target` and applies `change` to the bytes of each read.
async fn relay(
    listener: TcpListener,
    target: std::net::SocketAddr,
    change: fn(&mut Vec<u8>, usize),
) {
    let (mut near, _) = listener.accept().await.unwrap();
    let mut far = TcpStream::connect(target).await.unwrap();
    let (mut far_read, mut far_write) = far.split();
    let (mut near_read, mut near_write) = near.split();
    let forward = async {
        let mut reads = 0;
        let mut buffer = vec![0; 4096];
        while let Ok(length) = near_read.read(&mut buffer).await {
            if length == 0 {
                break;
            }
            let mut bytes = buffer[..length].to_vec();
            change(&mut bytes, reads);
            reads += 1;
            let _ = far_write.write_all(&bytes).await;
        }
    };
    let back = async {
        let _ = tokio::io::copy(&mut far_read, &mut near_write).await;
    };
    tokio::join!(forward, back);
}

#[ntex::test]
async fn modified_and_repeated_frames_are_rejected() {
    // Reads 0 and 1 are the handshake; read 2 is the first message.
    let changes: [fn(&mut Vec<u8>, usize); 2] = [
        |bytes, read| {
            if read == 2 {
                bytes[13] ^= 1;
            }
        },
        |bytes, read| {
            if read == 2 {
                let again = bytes.clone();
                bytes.extend(again);
            }
        },
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let inner = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let outer = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (near, far) = (outer.local_addr().unwrap(), inner.local_addr().unwrap());
        ntex::rt::spawn(relay(outer, far, change));
        let accept = async {
            let (socket, from) = inner.accept().await.unwrap();
            accept_peer(&identity("b", vec![key("k")]), socket, from).await
        };
        let calling = identity("a", vec![key("k")]);
        let (left, right) = tokio::join!(connect_peer(&calling, near), accept);
        let (mut reader, _writer) = right.unwrap();
        left.unwrap().1.send(&"payload").await.unwrap();
        let first = reader.receive::<String>().await;
        let error = if number == 0 {
            first.unwrap_err()
        } else {
            assert_eq!(first.unwrap(), "payload");
            reader.receive::<String>().await.unwrap_err()
        };
        assert!(
            matches!(error.cause, WireCause::BadHash),
            "case {number}: {error}"
        );
    }
}

#[test]
fn datagrams_are_accepted_only_unmodified_and_under_a_known_key() {
    let sender = identity("entry-1", vec![key("k1")]);
    let sealed = seal_datagram(&sender, &(7_u32, "up")).unwrap();
    let open = open_datagram::<(u32, String)>(&sender.keys, &sealed).unwrap();
    assert_eq!((open.sender.as_str(), open.message.0), ("entry-1", 7));
    for position in 0..sealed.len() {
        let mut modified = sealed.clone();
        modified[position] ^= 1;
        assert!(open_datagram::<(u32, String)>(&sender.keys, &modified).is_err());
        assert!(open_datagram::<(u32, String)>(&sender.keys, &sealed[..position]).is_err());
    }
    let other_keys = PeerKeyRing::new(vec![key("k2")]);
    assert!(open_datagram::<(u32, String)>(&other_keys, &sealed).is_err());
}

#[test]
fn key_files_are_loaded_completely_or_rejected_with_the_line() {
    let good = "# shared\nk1 00000000000000000000000000000000000000000000000000000000000000aa\n";
    let cases = [
        (good.to_owned(), "loaded"),
        (String::new(), "holds no key"),
        ("k1\n".to_owned(), "line 1"),
        (format!("{good}k2 12\n"), "line 3"),
    ];
    for (text, expected) in cases {
        let mut file = tempfile::NamedTempFile::new().unwrap();
        file.write_all(text.as_bytes()).unwrap();
        match PeerKeyRing::load(file.path()) {
            Ok(ring) => assert!(expected == "loaded" && ring.find("k1").is_some()),
            Err(error) => assert!(error.to_string().contains(expected), "{error}"),
        }
    }
}

/// Maximum number of bytes that the slow relay forwards at once.
const CHUNK_BYTES: usize = 2_000;

/// Delay of the slow relay before each chunk.
const CHUNK_DELAY: Duration = Duration::from_millis(10);

/// Forwards bytes from one socket to the other, delaying each chunk, while `forwarding` is set.
async fn forward_slowly(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    forwarding: Arc<AtomicBool>,
) {
    let mut chunk = [0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        tokio::time::sleep(CHUNK_DELAY).await;
        while !forwarding.load(Ordering::Relaxed) {
            tokio::time::sleep(CHUNK_DELAY).await;
        }
        to.write_all(&chunk[..length]).await.unwrap();
    }
}

/// Both ends of a connection; holding both keeps either from being closed while the other is in
/// use.
struct SlowEnds {
    near: (PeerReader, PeerWriter),
    far: (PeerReader, PeerWriter),
}

/// Returns both ends of a connection over a slow relay, and the flag that lets the relay forward.
async fn join_slowly() -> (SlowEnds, Arc<AtomicBool>) {
    let (near, far) = (
        identity("near", vec![key("k1")]),
        identity("far", vec![key("k1")]),
    );
    let far_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay_address = relay_listener.local_addr().unwrap();
    let forwarding = Arc::new(AtomicBool::new(true));
    let relay = async {
        let (called, _) = relay_listener.accept().await.unwrap();
        let onward = TcpStream::connect(far_listener.local_addr().unwrap())
            .await
            .unwrap();
        let ((near_read, near_write), (far_read, far_write)) =
            (called.into_split(), onward.into_split());
        ntex::rt::spawn(forward_slowly(near_read, far_write, forwarding.clone()));
        ntex::rt::spawn(forward_slowly(far_read, near_write, forwarding.clone()));
    };
    let accept = async {
        let (socket, from) = far_listener.accept().await.unwrap();
        accept_peer(&far, socket, from).await.unwrap()
    };
    let (near, (), far) = tokio::join!(connect_peer(&near, relay_address), relay, accept);
    (
        SlowEnds {
            near: near.unwrap(),
            far,
        },
        forwarding,
    )
}

#[ntex::test]
async fn a_message_whose_transfer_exceeds_the_silence_timeout_is_received() {
    let (SlowEnds { near, far }, _) = join_slowly().await;
    let timeout = Duration::from_millis(300);
    let (mut reader, mut writer) = (near.0.with_silence_timeout(timeout), far.1);
    // The transfer takes at least one second.
    let message = vec![7_u8; 100 * CHUNK_BYTES];
    let started = Instant::now();
    let (sent, got) = tokio::join!(writer.send(&message), reader.receive::<Vec<u8>>());
    sent.unwrap();
    assert_eq!(got.unwrap(), message);
    assert!(started.elapsed() > timeout);
}

#[ntex::test]
async fn a_connection_that_stalls_in_a_message_without_closing_times_out() {
    let (SlowEnds { near, far }, forwarding) = join_slowly().await;
    let timeout = Duration::from_millis(300);
    let (mut reader, mut writer) = (near.0.with_silence_timeout(timeout), far.1);
    let message = vec![7_u8; 100 * CHUNK_BYTES];
    let stopping = async {
        tokio::time::sleep(CHUNK_DELAY * 10).await;
        forwarding.store(false, Ordering::Relaxed);
    };
    let (sent, got, ()) =
        tokio::join!(writer.send(&message), reader.receive::<Vec<u8>>(), stopping);
    sent.unwrap();
    let cause = got.unwrap_err().cause;
    assert!(
        matches!(cause, WireCause::Silent { message_bytes, .. } if message_bytes > 100 * CHUNK_BYTES)
    );
}

/// Covers message sizes around the size of the read buffer, with several messages in one write.
#[ntex::test]
async fn queued_messages_are_sent_together_and_received_in_order() {
    let (left, right) = join(
        identity("entry-1", vec![key("k1")]),
        identity("entry-2", vec![key("k1")]),
    )
    .await;
    let (_left_reader, mut left_writer) = left.unwrap();
    let (mut right_reader, _right_writer) = right.unwrap();
    let sizes = [0_usize, 1, 40, 1_990, 2_020, 2_048, 2_049, 4_096, 9_000, 3];
    let sending = async {
        for size in sizes {
            left_writer.queue(&vec![7_u8; size]).unwrap();
        }
        left_writer.flush().await.unwrap();
        // Queued messages are sent before the message that is sent directly.
        left_writer.queue(&vec![8_u8; 5]).unwrap();
        left_writer.send(&vec![9_u8; 100_000]).await.unwrap();
    };
    let receiving = async {
        for size in sizes {
            let got: Vec<u8> = right_reader.receive().await.unwrap();
            assert_eq!(got, vec![7_u8; size]);
        }
        assert_eq!(right_reader.receive::<Vec<u8>>().await.unwrap(), [8; 5]);
        let large: Vec<u8> = right_reader.receive().await.unwrap();
        assert_eq!(large.len(), 100_000);
    };
    tokio::join!(sending, receiving);
}

#[ntex::test]
async fn a_full_queue_asks_for_a_flush() {
    let (left, _right) = join(
        identity("entry-1", vec![key("k1")]),
        identity("entry-2", vec![key("k1")]),
    )
    .await;
    let (_reader, mut writer) = left.unwrap();
    assert!(!writer.queue(&vec![0_u8; 1_000]).unwrap());
    assert!(writer.queue(&vec![0_u8; 20_000]).unwrap());
}
