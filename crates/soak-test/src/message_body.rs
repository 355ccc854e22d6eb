//! Large message bodies, padded with a known pattern so that the receiver can detect alterations.

use std::sync::LazyLock;

/// Bytes that are repeated to pad a body.
const PADDING_PATTERN: &str = "0123456789abcdefghijklmnopqrstuvwxyz";
/// Number of repetitions of the pattern that are kept ready.
const PADDING_REPETITIONS: usize = 2000;
/// Separates a body's content from its padding.
const SEPARATOR: char = '|';
/// Start of the query by which a client requests a response body of a given size; the number of
/// bytes follows.
const SIZE_PARAMETER: &str = "bytes=";

/// Returns the query, from its question mark on, that requests a response body of this many bytes.
pub fn size_query(bytes: usize) -> String {
    format!("?{SIZE_PARAMETER}{bytes}")
}

/// Returns the response body size, in bytes, that a request line requests, or 0 if it requests
/// none.
pub fn requested_bytes(request_line: &str) -> usize {
    let parameter = request_line
        .split(' ')
        .nth(1)
        .and_then(|target| target.split_once('?'))
        .and_then(|(_, query)| query.strip_prefix(SIZE_PARAMETER));
    parameter
        .and_then(|bytes| bytes.parse().ok())
        .unwrap_or_default()
}

/// The pattern, repeated so often that large bodies are padded and compared in few steps, also without
/// optimization: the observer must not be late for it.
static PADDING: LazyLock<String> = LazyLock::new(|| PADDING_PATTERN.repeat(PADDING_REPETITIONS));

/// Pads a body with a separator and the pattern to a length of `bytes` bytes. Leaves it unchanged
/// if there is no room for any byte after the separator.
pub fn pad(body: &mut String, bytes: usize) {
    if body.len() + SEPARATOR.len_utf8() >= bytes {
        return;
    }
    body.reserve(bytes - body.len());
    body.push(SEPARATOR);
    while body.len() < bytes {
        let missing = bytes - body.len();
        body.push_str(&PADDING[..missing.min(PADDING.len())]);
    }
}

/// Whether all bytes after the first separator are the padding pattern. A body without a separator
/// is intact.
pub fn is_intact(body: &[u8]) -> bool {
    let separator = body.iter().position(|&byte| byte == SEPARATOR as u8);
    separator.is_none_or(|at| {
        body[at + 1..]
            .chunks(PADDING.len())
            .all(|part| part == &PADDING.as_bytes()[..part.len()])
    })
}
