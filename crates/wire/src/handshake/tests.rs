use tokio::net::TcpListener;

use super::*;

fn identity(name: &str) -> PeerIdentity {
    PeerIdentity {
        name: name.to_owned(),
        keys: PeerKeyRing::new(vec![PeerKey::new("key", [7; 32])]),
        clock: Arc::new(HybridClock::new()),
    }
}

/// Calls a peer as a build would that writes `behind` after its hello; returns the form that it reads.
async fn call_as(
    socket: &mut TcpStream,
    behind: &[u8],
) -> Result<Option<MessageVersion>, WireError> {
    let identity = identity("calling");
    let key = identity.keys.offered().unwrap();
    let hello = Hello {
        key_id: key.id.clone(),
        name: identity.name.clone(),
        nonce: [1; 16],
    };
    let mut body = postcard::to_stdvec(&hello).unwrap();
    body.extend_from_slice(behind);
    let mut bytes = (body.len() as u16).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    socket.write_all(&bytes).await.unwrap();
    let (welcome, form) = read_announced::<Welcome>(socket, "accepting").await?;
    let transcript = Transcript::new(&key, &hello, &welcome.name, &welcome.nonce);
    assert_eq!(welcome.proof, *transcript.accepting_proof.as_bytes());
    let proof = Proof {
        proof: *transcript.calling_proof.as_bytes(),
    };
    write_message(socket, "accepting", &proof).await?;
    Ok(form)
}

/// Returns what each side takes for the form of the connection.
async fn join(
    behind: &[u8],
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
    let (accepted, called) = tokio::join!(accept, call_as(&mut socket, behind));
    let form = accepted.map(|(reader, _)| reader.message_version());
    (form, called.ok().flatten())
}

#[ntex::test]
async fn a_build_that_announces_no_form_is_taken_as_such_and_passes_over_what_is_announced() {
    let (form, told) = join(&[]).await;
    assert_eq!(form.unwrap(), None);
    assert_eq!(told, Some(MessageVersion::NEWEST));
}

#[ntex::test]
async fn the_older_of_the_two_forms_is_spoken() {
    for (number, spoken) in [
        (1, MessageVersion::V1),
        (2, MessageVersion::V2),
        (3, MessageVersion::V3),
        (4, MessageVersion::NEWEST),
        (u16::MAX, MessageVersion::NEWEST),
    ] {
        let announced = postcard::to_stdvec::<u16>(&number).unwrap();
        assert_eq!(join(&announced).await.0.unwrap(), Some(spoken), "{number}");
        // A later build may write more.
        let more = [&announced[..], b"more"].concat();
        assert_eq!(join(&more).await.0.unwrap(), Some(spoken), "{number}");
    }
}

#[ntex::test]
async fn a_form_that_is_no_number_or_a_hello_that_is_too_long_is_refused() {
    for behind in [vec![0xff; 3], vec![0xff; 8], vec![0; MAX_HANDSHAKE_BYTES]] {
        let (form, _) = join(&behind).await;
        let cause = form.unwrap_err().to_string();
        assert!(cause.contains("handshake"), "{cause}");
    }
}

/// The bytes of the handshake as they were shipped; the number behind is the newest form.
#[test]
fn the_handshake_is_as_it_was_shipped() {
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
    let hello = |form: MessageVersion| hex(postcard::to_stdvec(&(&hello, form.number())).unwrap());
    let welcome =
        |form: MessageVersion| hex(postcard::to_stdvec(&(&welcome, form.number())).unwrap());
    let lines = [
        format!("hello {}", hello(MessageVersion::V2)),
        format!("welcome {}", welcome(MessageVersion::V2)),
        format!(
            "proof {}",
            hex(postcard::to_stdvec(&Proof { proof: [4; 32] }).unwrap())
        ),
        format!("hello {}", hello(MessageVersion::V3)),
        format!("welcome {}", welcome(MessageVersion::V3)),
        format!("hello {}", hello(MessageVersion::NEWEST)),
        format!("welcome {}", welcome(MessageVersion::NEWEST)),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}
