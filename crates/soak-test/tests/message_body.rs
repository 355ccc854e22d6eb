//! Padded message bodies allow their receiver to detect alterations.

use soak_test::message_body::{is_intact, pad, requested_bytes, size_query};

/// Size of the padded bodies, in bytes.
const LARGE_BYTES: usize = 100_000;

/// Returns a short body, padded to this many bytes.
fn padded_body(bytes: usize) -> String {
    let mut body = "r1 of backend 3".to_owned();
    pad(&mut body, bytes);
    body
}

#[test]
fn padded_body_has_the_requested_size_and_is_intact() {
    let body = padded_body(LARGE_BYTES);
    assert_eq!(body.len(), LARGE_BYTES);
    assert!(is_intact(body.as_bytes()));
}

#[test]
fn body_is_intact_and_unchanged_without_padding() {
    let body = padded_body(0);
    assert_eq!(body, "r1 of backend 3");
    assert!(is_intact(body.as_bytes()));
}

#[test]
fn altered_dropped_or_repeated_bytes_are_detected() {
    let body = padded_body(LARGE_BYTES).into_bytes();
    let mut altered = body.clone();
    altered[LARGE_BYTES / 2] = b'#';
    let mut dropped = body.clone();
    dropped.remove(LARGE_BYTES / 2);
    let mut repeated = body.clone();
    repeated.insert(LARGE_BYTES / 2, body[LARGE_BYTES / 2]);
    for body in [altered, dropped, repeated] {
        assert!(!is_intact(&body));
    }
}

#[test]
fn requested_size_is_parsed_from_the_request_line() {
    let line = format!("GET /read/x{} HTTP/1.1", size_query(LARGE_BYTES));
    assert_eq!(requested_bytes(&line), LARGE_BYTES);
    assert_eq!(requested_bytes("GET /read/x HTTP/1.1"), 0);
}
