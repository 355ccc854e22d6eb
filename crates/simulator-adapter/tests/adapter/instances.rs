//! Instances start, are killed and start again, and share nothing.

use crate::support::{event_frame, event_record, init, switch_to, SETTINGS};
use simulator_adapter::instances::{FrameError, InstanceTable};
use simulator_adapter::wire::{InstanceId, ACTION_HEADER_BYTES, ACTION_RECORD_BYTES};

const POWER_OFF: &str = "12";
/// Action codes in the replies.
const SET_INSTANCE: u8 = 24;
const REJECT: u8 = 21;

fn request_arrival(request: u64) -> Vec<u8> {
    event_record(&format!(
        "13 {request:016x} 0000 00 0000000000000000 000000000e4e1c00"
    ))
}

/// The table's reply to one frame of these records.
fn handle(
    instances: &mut InstanceTable,
    now: u64,
    records: &[Vec<u8>],
) -> Result<Vec<u8>, FrameError> {
    instances.handle_frame(&event_frame(now, records, SETTINGS.as_bytes()))
}

#[test]
fn instances_start_die_and_share_nothing() {
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
    // Started without endpoints: the request is rejected.
    let records = [switch_to(3), init(SETTINGS), request_arrival(1)];
    let reply = handle(instances, 2, &records).unwrap();
    let codes = (
        reply[ACTION_HEADER_BYTES],
        reply[ACTION_HEADER_BYTES + ACTION_RECORD_BYTES],
    );
    assert_eq!(codes, (SET_INSTANCE, REJECT));
    // Killed: no further event for it.
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
    // Killed and started anew in one frame: it is empty again.
    let records = [
        switch_to(3),
        init(SETTINGS),
        event_record(POWER_OFF),
        init(SETTINGS),
        request_arrival(2),
    ];
    assert!(handle(instances, 4, &records).is_ok());
}
