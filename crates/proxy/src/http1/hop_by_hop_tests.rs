use super::*;
use hyper::header::HeaderValue;

#[test]
fn hop_by_hop_headers_are_removed() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "X-Per-Connection, close"),
        ("x-per-connection", "1"),
        ("te", "trailers"),
        ("x-end-to-end", "2"),
    ] {
        headers.insert(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    let forwarded = end_to_end_headers(headers);
    assert_eq!(
        forwarded.keys().map(HeaderName::as_str).collect::<Vec<_>>(),
        ["x-end-to-end"]
    );
}
