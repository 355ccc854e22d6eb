//! Tests that instances start, are killed and start again with an empty state.

use crate::support::{event_frame, event_record, init, switch_to, SETTINGS};
use simulator_adapter::instances::{FrameError, InstanceTable};
use simulator_adapter::wire::{InstanceId, ACTION_HEADER_BYTES, ACTION_RECORD_BYTES};

/// The record that kills an instance, in hexadecimal.
const POWER_OFF: &str = "12";
/// Code of the action record that names an instance.
const SET_INSTANCE: u8 = 24;
/// Code of the action record that rejects a request.
const REJECT: u8 = 21;

/// Returns the record of a request of class 0 that arrives with 240 ms left and without work.
fn request_arrival(request: u64) -> Vec<u8> {
    event_record(&format!(
        "13 {request:016x} 0000 00 0000000000000000 000000000e4e1c00"
    ))
}

/// Returns the table's reply to one frame of these records, whose tail is [`SETTINGS`].
fn handle(
    instances: &mut InstanceTable,
    now: u64,
    records: &[Vec<u8>],
) -> Result<Vec<u8>, FrameError> {
    instances.handle_frame(&event_frame(now, records, SETTINGS.as_bytes()))
}

#[test]
fn instances_start_are_killed_and_start_again() {
    let instances = &mut InstanceTable::default();
    assert!(matches!(
        handle(instances, 1, &[request_arrival(1)]),
        Err(FrameError::NoInstance { record: 0 })
    ));
    let error = handle(instances, 1, &[switch_to(3), request_arrival(1)]).unwrap_err();
    assert!(
        matches!(
            error,
            FrameError::InstanceNotRunning {
                record: 1,
                instance: InstanceId(3)
            }
        ),
        "{error}"
    );
    // The instance is started and has no endpoints: it rejects the request.
    let records = [switch_to(3), init(SETTINGS), request_arrival(1)];
    let reply = handle(instances, 2, &records).unwrap();
    let codes = (
        reply[ACTION_HEADER_BYTES],
        reply[ACTION_HEADER_BYTES + ACTION_RECORD_BYTES],
    );
    assert_eq!(codes, (SET_INSTANCE, REJECT));
    // The instance is killed: further events for it are an error.
    let records = [switch_to(3), event_record(POWER_OFF), request_arrival(2)];
    let error = handle(instances, 3, &records).unwrap_err();
    assert!(
        matches!(
            error,
            FrameError::InstanceNotRunning {
                record: 2,
                instance: InstanceId(3)
            }
        ),
        "{error}"
    );
    // Within one frame the instance is started, killed and started again, with an empty state.
    let records = [
        switch_to(3),
        init(SETTINGS),
        event_record(POWER_OFF),
        init(SETTINGS),
        request_arrival(2),
    ];
    assert!(handle(instances, 4, &records).is_ok());
}
