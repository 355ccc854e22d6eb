//! Tests that actions are encoded as in the byte examples of the wire protocol's documentation.

use crate::support::{bytes, padded_record};
use balancer::{Action, BackendId, GiveUpReason, RequestId, Time, TimerId};
use simulator_adapter::wire::{ActionFrame, InstanceId, ACTION_HEADER_BYTES, ACTION_RECORD_BYTES};
use std::time::Duration;

const REQUEST: RequestId = RequestId(0x0006_8b68_5d3a_91c4);
const OTHER_REQUEST: RequestId = RequestId(0x0005_8cb7_0e6f_2b19);
const BACKEND: BackendId = BackendId(0x0312_4a07);

#[test]
fn actions_of_two_instances_are_written_as_documented() {
    let mut frame = ActionFrame::default();
    frame.set_instance(InstanceId(3));
    frame.push_action(&Action::StartAttempt {
        request: REQUEST,
        backend: BACKEND,
        timeout: Some(Duration::from_millis(80)),
    });
    frame.push_action(&Action::SetTimer {
        at: Time(0x2_1336_2490),
        timer: TimerId(0x4d),
    });
    frame.set_instance(InstanceId(5));
    frame.push_action(&Action::Log("two servers known".into()));
    let mut expected = bytes("00000005 00000091");
    for record in [
        "18 00000003",
        "19 00068b685d3a91c4 03124a07 0000000004c4b400",
        "1a 0000000213362490 0000004d",
        "18 00000005",
        "1b 00000000 00000011",
    ] {
        expected.extend(padded_record(record, ACTION_RECORD_BYTES));
    }
    expected.extend(bytes("74776f2073657276657273206b6e6f776e"));
    assert_eq!(frame.to_bytes(), expected);
}

#[test]
fn each_action_is_written_as_documented() {
    let mut frame = ActionFrame::default();
    for (action, record) in [
        (Action::RefreshEndpointList, "14 01"),
        (Action::SendLoadProbe { backend: BACKEND }, "17 03124a07"),
        (
            Action::CancelAttempt {
                request: REQUEST,
                attempt: 0,
            },
            "13 00068b685d3a91c4 00",
        ),
        (
            Action::Fail {
                request: OTHER_REQUEST,
                reason: GiveUpReason::InsufficientTime,
            },
            "16 00058cb70e6f2b19",
        ),
        (
            Action::Reject {
                request: OTHER_REQUEST,
                retry_after: Some(Duration::from_millis(250)),
                reason: GiveUpReason::LoadShed,
            },
            "15 00058cb70e6f2b19 000000000ee6b280",
        ),
    ] {
        frame.clear();
        frame.push_action(&action);
        assert_eq!(
            frame.to_bytes()[ACTION_HEADER_BYTES..],
            padded_record(record, ACTION_RECORD_BYTES)
        );
    }
}

#[test]
fn decision_failure_is_written_as_documented() {
    let mut frame = ActionFrame::default();
    frame.push_decision_failure("index out of range");
    let expected = [
        bytes("00000001 00000032"),
        padded_record("12 00000000 00000012", ACTION_RECORD_BYTES),
        b"index out of range".to_vec(),
    ]
    .concat();
    assert_eq!(frame.to_bytes(), expected);
}
