//! Compatibility of stored entries: data folders written by earlier versions can still be read.

#![allow(clippy::unwrap_used)]

use linnet_quorum::{LogEntry, LogPayload};
use serde::Serialize;

/// An entry whose command is encoded as a list of numbers.
#[derive(Serialize)]
struct ListEntry {
    index: u64,
    term: u64,
    payload: ListPayload,
}

/// The payload of [`ListEntry`]. The encoding contains the position of a variant, not its name.
#[derive(Serialize)]
#[allow(dead_code)]
enum ListPayload {
    Noop,
    Members(()),
    Command(Vec<u8>),
}

#[test]
fn a_command_encoded_as_a_block_has_the_bytes_of_a_list() {
    for length in [0, 1, 127, 128, 70_000] {
        let command: Vec<u8> = (0..length).map(|byte| byte as u8).collect();
        let list = ListEntry {
            index: 300,
            term: 7,
            payload: ListPayload::Command(command.clone()),
        };
        let block = LogEntry {
            index: 300,
            term: 7,
            payload: LogPayload::Command(command),
        };
        let stored = postcard::to_stdvec(&list).unwrap();
        assert_eq!(postcard::to_stdvec(&block).unwrap(), stored);
        let read: LogEntry = postcard::from_bytes(&stored).unwrap();
        assert_eq!(read, block);
    }
}
