//! Codec: messages decode to what was encoded, and other bytes are rejected without a panic.

use {
    proptest::prelude::*,
    sycamorerail_wire::{
        answer::{Payload, Reason, TaskEnd},
        codec,
        ids::{ContentHash, IdKey, Incarnation, JobId, OrganisationKey, TaskId},
        message::{AgentReply, AgentReplyBody, ConfigMark, Load, Placement, ToAgent, ToEntry},
    },
};

fn task_id(index: u16, attempt: u8) -> TaskId {
    let home = "10.0.0.1:9100".parse().unwrap();
    let organisation = OrganisationKey::of("alpenfunk");
    let job = JobId::mint(&IdKey::derive("k"), home, Incarnation(7), 1, 2, organisation);
    TaskId { job, index, attempt }
}

proptest! {
    #[test]
    fn placement_round_trip(index in 0u16..170, attempt: u8, payload in ".{0,200}", end: u32) {
        let placement = Placement {
            agent: Incarnation(9),
            task: task_id(index, attempt),
            task_count: 170,
            content: ContentHash::of(payload.as_bytes()),
            organisation: "alpenfunk".to_owned(),
            kind: "reach-check".to_owned(),
            payload: Payload(payload),
            start_within_ms: end / 2,
            end_within_ms: end,
            urgency: 1,
            config_mark: ConfigMark(3),
        };
        let message = ToAgent::Place(placement);
        let bytes = codec::encode(&message).unwrap();
        prop_assert_eq!(codec::decode::<ToAgent>(&bytes).unwrap(), message);
    }

    #[test]
    fn reply_round_trip(result in ".{0,200}", run_us: u64, sequence: u64) {
        let reply = AgentReply {
            agent: Incarnation(9),
            load: Load { sequence, ..Load::default() },
            config_mark: ConfigMark(3),
            body: AgentReplyBody::Ended {
                end: TaskEnd::Finished(Payload(result)),
                run_us,
                queued_us: 0,
            },
        };
        let bytes = codec::encode(&reply).unwrap();
        prop_assert_eq!(codec::decode::<AgentReply>(&bytes).unwrap(), reply);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        // Bytes that decode must be exactly one message, which encodes and decodes again.
        if let Ok(message) = codec::decode::<ToEntry>(&bytes) {
            let encoded = codec::encode(&message).unwrap();
            prop_assert_eq!(codec::decode::<ToEntry>(&encoded).unwrap(), message);
        }
        let _ = codec::decode::<ToAgent>(&bytes);
        let _ = codec::decode::<AgentReply>(&bytes);
    }

    #[test]
    fn trailing_bytes_are_rejected(extra in prop::collection::vec(any::<u8>(), 1..9)) {
        let mut bytes = codec::encode(&ToEntry::Status).unwrap();
        bytes.extend(extra);
        prop_assert!(codec::decode::<ToEntry>(&bytes).is_err());
    }
}

#[test]
fn reason_names_are_unique_and_match_json() {
    let mut names: Vec<_> = Reason::ALL.iter().map(|reason| reason.name()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), Reason::ALL.len());
    for reason in Reason::ALL {
        let json = serde_json::to_string(reason).unwrap();
        assert_eq!(json, format!("\"{}\"", reason.name()));
    }
}
