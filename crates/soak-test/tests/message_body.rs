//! Large bodies show whether they arrived unaltered.

use soak_test::message_body::{fill, is_intact, query, requested_bytes};

const LARGE: usize = 100_000;

fn filled(bytes: usize) -> String {
    let mut body = "r1 of backend 3".to_owned();
    fill(&mut body, bytes);
    body
}

#[test]
fn filled_body_has_the_size_and_is_intact() {
    let body = filled(LARGE);
    assert_eq!(body.len(), LARGE);
    assert!(is_intact(body.as_bytes()));
}

#[test]
fn small_body_is_left_as_it_is_and_is_intact() {
    let body = filled(0);
    assert_eq!(body, "r1 of backend 3");
    assert!(is_intact(body.as_bytes()));
}

#[test]
fn altered_dropped_or_repeated_bytes_show() {
    let body = filled(LARGE).into_bytes();
    let mut altered = body.clone();
    altered[LARGE / 2] = b'#';
    let mut dropped = body.clone();
    dropped.remove(LARGE / 2);
    let mut repeated = body.clone();
    repeated.insert(LARGE / 2, body[LARGE / 2]);
    for body in [altered, dropped, repeated] {
        assert!(!is_intact(&body));
    }
}

#[test]
fn size_is_read_from_the_request_line() {
    let line = format!("GET /read/x{} HTTP/1.1", query(LARGE));
    assert_eq!(requested_bytes(&line), LARGE);
    assert_eq!(requested_bytes("GET /read/x HTTP/1.1"), 0);
}
