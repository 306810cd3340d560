//! Handshake, frames, datagrams and rolling keys over real sockets.

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
async fn messages_pass_both_ways_with_names_and_stamps() {
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
async fn keys_roll_without_a_stop_and_strangers_are_refused() {
    let (old, new, other) = (key("k1"), key("k2"), key("k1-other"));
    let forged = PeerKey::new("k1", [9; 32]);
    // (keys of the caller, keys of the accepting end, is it taken)
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
    for (number, (calling, accepting, taken)) in cases.into_iter().enumerate() {
        let (left, right) = join(identity("a", calling), identity("b", accepting)).await;
        assert_eq!(left.is_ok() && right.is_ok(), taken, "case {number}");
    }
}

/// Passes bytes from a caller to a listener through `change`, once per read.
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
async fn changed_and_repeated_frames_are_refused() {
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
        let refused = if number == 0 {
            first.unwrap_err()
        } else {
            assert_eq!(first.unwrap(), "payload");
            reader.receive::<String>().await.unwrap_err()
        };
        assert!(
            matches!(refused.cause, WireCause::BadHash),
            "case {number}: {refused}"
        );
    }
}

#[test]
fn datagrams_open_only_unchanged_and_under_a_known_key() {
    let sender = identity("entry-1", vec![key("k1")]);
    let sealed = seal_datagram(&sender, &(7_u32, "up")).unwrap();
    let open = open_datagram::<(u32, String)>(&sender.keys, &sealed).unwrap();
    assert_eq!((open.sender.as_str(), open.message.0), ("entry-1", 7));
    for position in 0..sealed.len() {
        let mut spoiled = sealed.clone();
        spoiled[position] ^= 1;
        assert!(open_datagram::<(u32, String)>(&sender.keys, &spoiled).is_err());
        assert!(open_datagram::<(u32, String)>(&sender.keys, &sealed[..position]).is_err());
    }
    let strangers = PeerKeyRing::new(vec![key("k2")]);
    assert!(open_datagram::<(u32, String)>(&strangers, &sealed).is_err());
}

#[test]
fn key_files_are_read_whole_or_refused_by_line() {
    let good = "# shared\nk1 00000000000000000000000000000000000000000000000000000000000000aa\n";
    let cases = [
        (good.to_owned(), "taken"),
        (String::new(), "holds no key"),
        ("k1\n".to_owned(), "line 1"),
        (format!("{good}k2 12\n"), "line 3"),
    ];
    for (text, wanted) in cases {
        let mut file = tempfile::NamedTempFile::new().unwrap();
        file.write_all(text.as_bytes()).unwrap();
        match PeerKeyRing::load(file.path()) {
            Ok(ring) => assert!(wanted == "taken" && ring.find("k1").is_some()),
            Err(error) => assert!(error.to_string().contains(wanted), "{error}"),
        }
    }
}

/// How a relay passes bytes on: so many at one go, with a wait before each.
const PIECE: usize = 2_000;
const PIECE_WAIT: Duration = Duration::from_millis(10);

/// Passes bytes from one socket to the other, slowly, as long as `going_on` says so.
async fn pass_slowly(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, going_on: Arc<AtomicBool>) {
    let mut piece = [0; PIECE];
    while let Ok(length @ 1..) = from.read(&mut piece).await {
        tokio::time::sleep(PIECE_WAIT).await;
        while !going_on.load(Ordering::Relaxed) {
            tokio::time::sleep(PIECE_WAIT).await;
        }
        to.write_all(&piece[..length]).await.unwrap();
    }
}

/// Both ends of a connection; neither closes while the other is in use.
struct SlowEnds {
    near: (PeerReader, PeerWriter),
    far: (PeerReader, PeerWriter),
}

/// Both ends of a connection whose bytes pass slowly, and the switch that lets them pass at all.
async fn join_slowly() -> (SlowEnds, Arc<AtomicBool>) {
    let (near, far) = (
        identity("near", vec![key("k1")]),
        identity("far", vec![key("k1")]),
    );
    let far_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay_address = relay_listener.local_addr().unwrap();
    let going_on = Arc::new(AtomicBool::new(true));
    let relay = async {
        let (called, _) = relay_listener.accept().await.unwrap();
        let onward = TcpStream::connect(far_listener.local_addr().unwrap())
            .await
            .unwrap();
        let ((near_read, near_write), (far_read, far_write)) =
            (called.into_split(), onward.into_split());
        ntex::rt::spawn(pass_slowly(near_read, far_write, going_on.clone()));
        ntex::rt::spawn(pass_slowly(far_read, near_write, going_on.clone()));
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
        going_on,
    )
}

#[ntex::test]
async fn a_message_that_passes_for_longer_than_the_silence_limit_comes_whole() {
    let (SlowEnds { near, far }, _) = join_slowly().await;
    let limit = Duration::from_millis(300);
    let (mut reader, mut writer) = (near.0.with_silence_timeout(limit), far.1);
    // It takes a second at least.
    let message = vec![7_u8; 100 * PIECE];
    let began = Instant::now();
    let (sent, got) = tokio::join!(writer.send(&message), reader.receive::<Vec<u8>>());
    sent.unwrap();
    assert_eq!(got.unwrap(), message);
    assert!(began.elapsed() > limit);
}

#[ntex::test]
async fn a_connection_that_falls_silent_without_an_end_is_noticed_midway() {
    let (SlowEnds { near, far }, going_on) = join_slowly().await;
    let limit = Duration::from_millis(300);
    let (mut reader, mut writer) = (near.0.with_silence_timeout(limit), far.1);
    let message = vec![7_u8; 100 * PIECE];
    let stopping = async {
        tokio::time::sleep(PIECE_WAIT * 10).await;
        going_on.store(false, Ordering::Relaxed);
    };
    let (sent, got, ()) =
        tokio::join!(writer.send(&message), reader.receive::<Vec<u8>>(), stopping);
    sent.unwrap();
    let cause = got.unwrap_err().cause;
    assert!(matches!(cause, WireCause::Silent { length, .. } if length > 100 * PIECE));
}

/// Messages of every size around what is read at one time, several in one write.
#[ntex::test]
async fn messages_that_wait_go_out_together_and_come_whole_and_in_order() {
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
        // What waits is sent before a message that does not.
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
async fn a_full_queue_asks_to_be_sent() {
    let (left, _right) = join(
        identity("entry-1", vec![key("k1")]),
        identity("entry-2", vec![key("k1")]),
    )
    .await;
    let (_reader, mut writer) = left.unwrap();
    assert!(!writer.queue(&vec![0_u8; 1_000]).unwrap());
    assert!(writer.queue(&vec![0_u8; 20_000]).unwrap());
}
