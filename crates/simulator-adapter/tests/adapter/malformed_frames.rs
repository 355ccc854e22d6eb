//! Tests of the errors of malformed frames, which name the record and the field at fault.

use crate::support::{bytes, decode_event};
use simulator_adapter::wire::{EventFrame, WireError, WireField};

/// Returns the error that a field of the first record holds this unknown value.
fn unknown_value(field: WireField, value: u64) -> WireError {
    WireError::UnknownValue {
        record: 0,
        field,
        value,
    }
}

#[test]
fn malformed_records_are_named() {
    let unknown_event = WireError::UnknownEvent {
        record: 0,
        code: 0x63,
    };
    let outside_tail = WireError::OutsideTail {
        record: 0,
        field: WireField::Endpoints,
    };
    for (record, tail, expected) in [
        ("63", &[][..], unknown_event),
        (
            "15 00 00 00 00 00 00 00 01 00 00000001 03e7",
            &[],
            unknown_value(WireField::Outcome, 999),
        ),
        ("10 09", &[], unknown_value(WireField::ListUpdate, 9)),
        (
            "10 03 0000000000000001 00000000 00000002",
            &[0; 21],
            outside_tail,
        ),
        (
            "14 0000000000155cc0 2c9011f2 00c8 05",
            &[],
            unknown_value(WireField::LoadReport, 5),
        ),
    ] {
        assert_eq!(decode_event(record, tail).unwrap_err(), expected);
    }
}

#[test]
fn malformed_headers_are_rejected() {
    let short = bytes("00000020 0000000000000001 00000001 00000000000000000000000000000000");
    assert_eq!(
        EventFrame::parse(&short).unwrap_err(),
        WireError::RecordsExceedFrame {
            count: 1,
            frame_bytes: 32
        }
    );
    assert!(matches!(
        EventFrame::parse(&short[..20]),
        Err(WireError::InvalidLength(20))
    ));
}
