//! Settings, and helpers that build frames and decode events, for the other modules.

use balancer::Event;
use settings::LoadReportField;
use simulator_adapter::wire::{
    EventFrame, EventRecord, WireError, EVENT_HEADER_BYTES, EVENT_RECORD_BYTES,
};

/// The fields of the load reports in the tests' frames, in the order of their values.
pub const LOAD_REPORT_FIELDS: [LoadReportField; 4] = [
    LoadReportField::Utilization,
    LoadReportField::Throughput,
    LoadReportField::QueueDepth,
    LoadReportField::InFlight,
];

/// The JSON settings of an instance, with a key that is not known and must be skipped.
pub const SETTINGS: &str = r#"{"balancers": 4, "unheard_of": {"a": 1},
 "limits": {"may_cancel": true, "may_probe": false, "max_retry_after_ns": 1500000000, "retry_after": true,
            "second_copies": false, "try_limit": 6},
 "profiles": [{"deadline_ns": 4000000000, "effect": "free", "importance": 5.0, "key_scope": "all",
               "late_worth": 0.0, "name": "a", "promise_ns": 1600000000, "repeat_window_ns": 0, "streaming": false},
              {"deadline_ns": 4000000000, "effect": "guarded", "importance": 10.0, "key_scope": "cell",
               "kinds_open": [1], "late_worth": 0.0, "name": "b", "runs_in": [0, 1], "promise_ns": 1600000000, "repeat_window_ns": 3000000000}],
 "registry_mode": "automatic", "report": {"fields": ["utilization", "throughput"], "how": "piggyback"},
 "rules": {"ask_every_ns": 10000000000, "cold_from": 0.13, "drain_grace_ns": 250000000, "fall_multiple": 3.0,
           "overload_for_ns": 1000000000, "warm_up_ns": 23000000000},
 "tenants": [{"name": "t", "quota_per_s": 100.0, "share": 1.0}], "weights": "silent", "worth_by": "request",
 "zone": 1, "zones": ["x", "y"]}"#;

/// Returns the bytes that the hexadecimal digits of `text` stand for; other characters are skipped.
pub fn bytes(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

/// Returns the bytes that the hexadecimal digits of `text` stand for, filled up with zeros to
/// `size` bytes.
pub fn padded_record(text: &str, size: usize) -> Vec<u8> {
    let mut record = bytes(text);
    record.resize(size, 0);
    record
}

/// Returns an event record given in hexadecimal digits, filled up with zeros.
pub fn event_record(text: &str) -> Vec<u8> {
    padded_record(text, EVENT_RECORD_BYTES)
}

/// Returns an event frame with these records and this tail; `now` is the time on the simulator's
/// clock in nanoseconds.
pub fn event_frame(now: u64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let length = EVENT_HEADER_BYTES + body.len() + tail.len();
    let mut frame = (length as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(&now.to_be_bytes());
    frame.extend_from_slice(&(records.len() as u32).to_be_bytes());
    frame.extend_from_slice(&body);
    frame.extend_from_slice(tail);
    frame
}

/// Decodes a frame of one record, given in hexadecimal digits, and returns its event for the
/// balancer. Fails if the record is not such an event.
pub fn decode_event(record: &str, tail: &[u8]) -> Result<Event, WireError> {
    let frame = event_frame(1, &[event_record(record)], tail);
    match EventFrame::parse(&frame)?.record(0, &LOAD_REPORT_FIELDS)? {
        EventRecord::Event(event) => Ok(event),
        other => panic!("not an event: {other:?}"),
    }
}

/// Returns a record after which the following ones concern this instance.
pub fn switch_to(instance: u32) -> Vec<u8> {
    event_record(&format!("1a{instance:08x}"))
}

/// Returns a record that starts an instance with the settings at the beginning of the tail.
pub fn init(settings: &str) -> Vec<u8> {
    event_record(&format!(
        "18 0000000000000007 00000000 {:08x}",
        settings.len()
    ))
}
