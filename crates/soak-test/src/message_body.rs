//! Large bodies, of which each end can tell whether they arrived unaltered.

/// The bytes that fill a body up.
const PATTERN: &[u8] = b"0123456789abcdefghijklmnopqrstuvwxyz";
/// Stands before the filling.
const SEPARATOR: char = '|';
/// Query parameter by which a client asks for a response of some size.
const SIZE_PARAMETER: &str = "bytes=";

/// The request target's query that asks for a response body of this many bytes.
pub fn query(bytes: usize) -> String {
    format!("?{SIZE_PARAMETER}{bytes}")
}

/// The size of the response body that a request line asks for, or 0.
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

/// Fills a body up to this many bytes, if it is shorter.
pub fn fill(body: &mut String, bytes: usize) {
    if body.len() + SEPARATOR.len_utf8() >= bytes {
        return;
    }
    body.push(SEPARATOR);
    let missing = bytes - body.len();
    body.extend(
        PATTERN
            .iter()
            .cycle()
            .take(missing)
            .map(|&byte| char::from(byte)),
    );
}

/// Whether what follows the separator is the filling, as far as there is any.
pub fn is_intact(body: &[u8]) -> bool {
    let separator = body.iter().position(|&byte| byte == SEPARATOR as u8);
    separator.is_none_or(|at| {
        body[at + 1..]
            .iter()
            .eq(PATTERN.iter().cycle().take(body.len() - at - 1))
    })
}
