//! Tests of the recognition of the end of a chunked body.

use super::*;

#[test]
fn last_chunk_is_recognized_with_extensions_and_trailers() {
    let ends = [
        "data\r\n0\r\n\r\n",
        "data\r\n000\r\n\r\n",
        "data\r\n0;name=value\r\n\r\n",
        "data\r\n0\r\nA: b\r\nC: d\r\n\r\n",
    ];
    for end in ends {
        assert!(ends_chunked_body(end.as_bytes()), "{end:?}");
    }
}

#[test]
fn other_bytes_are_no_end() {
    let others = [
        "",
        "data",
        "data\r\n0\r\n",
        "data\r\n0\r\n\r\nmore",
        "data\r\n5\r\n\r\n",
        "data\r\n0\r\nno trailer\r\n\r\n",
    ];
    for other in others {
        assert!(!ends_chunked_body(other.as_bytes()), "{other:?}");
    }
}
