//! Tests that events are decoded as in the byte examples of the wire protocol's documentation.

use crate::support::{bytes, decode_event, event_frame, event_record};
use balancer::{
    AttemptOutcome, Event, ListUpdate, LoadProbeResult, MachineTypeId, RequestId, Time, TimerId,
};
use simulator_adapter::instances::InstanceTable;
use simulator_adapter::wire::{EventFrame, EventRecord};
use std::time::Duration;

#[test]
fn frame_without_records_is_answered_by_an_empty_frame() {
    let frame = bytes("00000010 00000001f568bf90 00000000");
    assert_eq!(
        InstanceTable::default().handle_frame(&frame).unwrap(),
        bytes("00000000 00000008")
    );
}

#[test]
fn request_arrival_is_read_as_documented() {
    let event = decode_event(
        "13 00068b685d3a91c4 0000 00 91f03b7c55d20a64 000000000e4e1c00 0000000000b71b00 01",
        &[],
    )
    .unwrap();
    let Event::RequestArrived(arrival) = event else {
        panic!("{event:?}")
    };
    assert_eq!(arrival.request, RequestId(0x0006_8b68_5d3a_91c4));
    assert_eq!((arrival.class.0, arrival.tenant.0), (0, 0));
    assert_eq!(arrival.remaining, Duration::from_millis(240));
    assert_eq!(arrival.work, Some(Duration::from_millis(12)));
}

#[test]
fn attempt_result_is_read_as_documented() {
    let event = decode_event(
        "15 00068b685d3a91c4 00 03124a07 00c8 00000000011a49a0 01 04 3f1eb852 430c0000 40400000 40e00000",
        &[],
    );
    let Ok(Event::AttemptEnded(result)) = event else {
        panic!("{event:?}")
    };
    assert_eq!((result.attempt, result.backend.0), (0, 0x0312_4a07));
    assert_eq!(result.outcome, AttemptOutcome::Success);
    assert!(result.request_closed);
    let report = result.load_report.unwrap();
    assert!((report.utilization.unwrap() - 0.62).abs() < 1e-6);
    assert_eq!(
        (report.throughput, report.queue_depth, report.in_flight),
        (Some(140.0), Some(3.0), Some(7.0))
    );
}

#[test]
fn load_probe_result_is_read_as_documented() {
    let event = decode_event(
        "14 0000000000155cc0 2c9011f2 00c8 04 3f1eb852 430c0000 40400000 40e00000",
        &[],
    )
    .unwrap();
    let Event::LoadProbeEnded(LoadProbeResult {
        backend, latency, ..
    }) = event
    else {
        panic!("{event:?}")
    };
    assert_eq!(backend.0, 0x2c90_11f2);
    assert_eq!(latency, Duration::from_micros(1400));
}

#[test]
fn response_start_is_read_as_documented() {
    let event = decode_event("19 00068b685d3a91c4 00 03124a07 00000000008d24d0", &[]).unwrap();
    let Event::ResponseStarted {
        attempt, latency, ..
    } = event
    else {
        panic!("{event:?}")
    };
    assert_eq!((attempt, latency), (0, Duration::from_micros(9250)));
}

#[test]
fn timer_is_read_as_documented() {
    let event = decode_event("11 0000004d", &[]).unwrap();
    let Event::TimerFired { timer } = event else {
        panic!("{event:?}")
    };
    assert_eq!(timer, TimerId(0x4d));
}

#[test]
fn client_disconnect_is_read_as_documented() {
    let event = decode_event("16 00058cb70e6f2b19", &[]).unwrap();
    let Event::ClientDisconnected { request } = event else {
        panic!("{event:?}")
    };
    assert_eq!(request, RequestId(0x0005_8cb7_0e6f_2b19));
}

#[test]
fn endpoint_list_is_read_as_documented() {
    let tail = bytes(
        "03124a07 00 00 0000 01 3f800000 0000000000000000
         2c9011f2 01 02 0000 01 3fc00000 000000016b969d00",
    );
    let event = decode_event("10 00 0000000000000029 00000000 00000002", &tail).unwrap();
    let Event::EndpointList {
        update: ListUpdate::Cached,
        endpoints,
    } = event
    else {
        panic!("{event:?}")
    };
    assert_eq!(endpoints.len(), 2);
    assert_eq!(endpoints[0].started_at, None);
    assert_eq!(endpoints[1].started_at, Some(Time(0x1_6b96_9d00)));
    assert_eq!(endpoints[1].backend.0, 0x2c90_11f2);
    assert_eq!((endpoints[1].zone.0, endpoints[1].weight), (1, 1.5));
    assert_eq!(endpoints[0].machine_type, MachineTypeId(0));
    assert_eq!(endpoints[1].machine_type, MachineTypeId(2));
}

#[test]
fn peer_message_is_read_as_documented() {
    let record = event_record("17 00000002 00000000 00000004");
    let frame = event_frame(1, &[record], &bytes("68692037"));
    let frame = EventFrame::parse(&frame).unwrap();
    assert!(matches!(
        frame.record(0, &[]).unwrap(),
        EventRecord::PeerMessage
    ));
}

#[test]
fn power_off_is_read_as_documented() {
    let frame = event_frame(1, &[event_record("12")], &[]);
    let frame = EventFrame::parse(&frame).unwrap();
    assert!(matches!(
        frame.record(0, &[]).unwrap(),
        EventRecord::PowerOff
    ));
}
