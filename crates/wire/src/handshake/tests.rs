use tokio::net::TcpListener;

use super::*;

fn identity(name: &str) -> PeerIdentity {
    PeerIdentity {
        name: name.to_owned(),
        keys: PeerKeyRing::new(vec![PeerKey::new("key", [7; 32])]),
        clock: Arc::new(HybridClock::new()),
    }
}

/// Performs the handshake as a build that appends `suffix` to its hello; returns the version that
/// the other end announces.
async fn call_with_suffix(
    socket: &mut TcpStream,
    suffix: &[u8],
) -> Result<Option<MessageVersion>, WireError> {
    let identity = identity("calling");
    let key = identity.keys.offered().unwrap();
    let hello = Hello {
        key_id: key.id.clone(),
        name: identity.name.clone(),
        nonce: [1; 16],
    };
    let mut body = postcard::to_stdvec(&hello).unwrap();
    body.extend_from_slice(suffix);
    let mut bytes = (body.len() as u16).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    socket.write_all(&bytes).await.unwrap();
    let (welcome, version) = read_with_version::<Welcome>(socket, "accepting").await?;
    let transcript = Transcript::new(&key, &hello, &welcome.name, &welcome.nonce);
    assert_eq!(welcome.proof, *transcript.accepting_proof.as_bytes());
    let proof = Proof {
        proof: *transcript.calling_proof.as_bytes(),
    };
    write_message(socket, "accepting", &proof).await?;
    Ok(version)
}

/// Returns the version of the connection on the accepting end, and the one announced to the calling
/// end.
async fn join(
    suffix: &[u8],
) -> (
    Result<Option<MessageVersion>, WireError>,
    Option<MessageVersion>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut socket = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (accepted, from) = listener.accept().await.unwrap();
    let accepting = identity("accepting");
    let accept = accept_peer(&accepting, accepted, from);
    let (accepted, called) = tokio::join!(accept, call_with_suffix(&mut socket, suffix));
    let version = accepted.map(|(reader, _)| reader.message_version());
    (version, called.ok().flatten())
}

#[ntex::test]
async fn builds_without_a_version_announcement_are_accepted_and_ignore_the_announced_version() {
    let (version, announced) = join(&[]).await;
    assert_eq!(version.unwrap(), None);
    assert_eq!(announced, Some(MessageVersion::NEWEST));
}

#[ntex::test]
async fn the_older_of_the_two_versions_is_negotiated() {
    for (number, negotiated) in [
        (1, MessageVersion::V1),
        (2, MessageVersion::V2),
        (3, MessageVersion::V3),
        (4, MessageVersion::V4),
        (5, MessageVersion::V5),
        (6, MessageVersion::V6),
        (7, MessageVersion::V7),
        (8, MessageVersion::NEWEST),
        (u16::MAX, MessageVersion::NEWEST),
    ] {
        let announced = postcard::to_stdvec::<u16>(&number).unwrap();
        assert_eq!(
            join(&announced).await.0.unwrap(),
            Some(negotiated),
            "{number}"
        );
        // A later build may append more data.
        let more = [&announced[..], b"more"].concat();
        assert_eq!(join(&more).await.0.unwrap(), Some(negotiated), "{number}");
    }
}

#[ntex::test]
async fn a_malformed_version_or_an_oversized_hello_is_rejected() {
    for suffix in [vec![0xff; 3], vec![0xff; 8], vec![0; MAX_HANDSHAKE_BYTES]] {
        let (version, _) = join(&suffix).await;
        let cause = version.unwrap_err().to_string();
        assert!(cause.contains("handshake"), "{cause}");
    }
}

/// The encoded handshake must stay as it was shipped; the last byte of hello and welcome is the
/// announced message version.
#[test]
fn handshake_encoding_is_unchanged() {
    let hex = |bytes: Vec<u8>| -> String { bytes.iter().map(|one| format!("{one:02x}")).collect() };
    let hello = Hello {
        key_id: "key".to_owned(),
        name: "entry-0".to_owned(),
        nonce: [1; 16],
    };
    let welcome = Welcome {
        name: "control-0".to_owned(),
        nonce: [2; 16],
        proof: [3; 32],
    };
    let hello =
        |version: MessageVersion| hex(postcard::to_stdvec(&(&hello, version.number())).unwrap());
    let welcome =
        |version: MessageVersion| hex(postcard::to_stdvec(&(&welcome, version.number())).unwrap());
    let lines = [
        format!("hello {}", hello(MessageVersion::V2)),
        format!("welcome {}", welcome(MessageVersion::V2)),
        format!(
            "proof {}",
            hex(postcard::to_stdvec(&Proof { proof: [4; 32] }).unwrap())
        ),
        format!("hello {}", hello(MessageVersion::V3)),
        format!("welcome {}", welcome(MessageVersion::V3)),
        format!("hello {}", hello(MessageVersion::V4)),
        format!("welcome {}", welcome(MessageVersion::V4)),
        format!("hello {}", hello(MessageVersion::V5)),
        format!("welcome {}", welcome(MessageVersion::V5)),
        format!("hello {}", hello(MessageVersion::V6)),
        format!("welcome {}", welcome(MessageVersion::V6)),
        format!("hello {}", hello(MessageVersion::V7)),
        format!("welcome {}", welcome(MessageVersion::V7)),
        format!("hello {}", hello(MessageVersion::NEWEST)),
        format!("welcome {}", welcome(MessageVersion::NEWEST)),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}
