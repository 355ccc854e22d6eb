//! Removes the hop-by-hop headers of a message before it is forwarded.

use hyper::header::{self, HeaderMap, HeaderName};

/// Headers that concern one connection rather than the message, and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Returns the end-to-end headers of a message: all but the hop-by-hop ones, those that
/// `Connection` names, and `Content-Length`, which hyper writes anew by the body that is sent.
pub fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    let named_by_connection: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&named_by_connection) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers
}

#[cfg(test)]
#[path = "hop_by_hop_tests.rs"]
mod tests;
