//! Bodies and snapshots on the links between instances.

#![allow(clippy::unwrap_used, reason = "tests may panic")]

use limpetweir_protocol::peer::{
    CallBody,
    ConfigSnapshot,
    JobAction,
    JobCall,
    JobReply,
    PeerMessage,
    ReplyBody, //
};
use limpetweir_state::{
    GroupId,
    GroupKind,
    OrganisationId,
    Version, //
};
use rstest::rstest;

/// Bytes that an array of integers would take two bytes each for.
const BODY: [u8; 10_000] = [0xff; 10_000];

/// Bytes of a message besides its body.
const FRAME_BYTES: usize = 256;

fn submission() -> PeerMessage {
    let body = CallBody::Job(JobCall {
        organisation: OrganisationId::try_from("reef").unwrap(),
        group: GroupId {
            kind: GroupKind::Jobs,
            index: 3,
        },
        action: JobAction::Submit {
            key: "evening".to_owned(),
            body: BODY.to_vec(),
        },
    });
    PeerMessage::Call { id: 1, body }
}

fn answer() -> PeerMessage {
    let body = ReplyBody::Job(JobReply {
        status: 200,
        body: BODY.to_vec(),
        retry_after_ms: None,
    });
    PeerMessage::Reply { id: 1, body }
}

fn snapshot() -> PeerMessage {
    let body = ReplyBody::Config(Some(ConfigSnapshot {
        version: Version(7),
        as_of: 12,
        snapshot: BODY.to_vec(),
    }));
    PeerMessage::Reply { id: 1, body }
}

/// Guards against bodies that take twice their size on the links.
#[rstest]
#[case(submission())]
#[case(answer())]
#[case(snapshot())]
fn bodies_are_byte_strings(#[case] message: PeerMessage) {
    let encoded = message.encode().unwrap();
    assert!(
        encoded.len() < BODY.len() + FRAME_BYTES,
        "{}",
        encoded.len()
    );
    assert_eq!(PeerMessage::decode(&encoded).unwrap(), message);
}
