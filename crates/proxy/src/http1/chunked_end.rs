//! Recognizes the end of a chunked body by its last bytes.

/// Number of bytes at the end of a body that are looked at: enough for the last chunk and a few trailers.
pub const MAX_END_BYTES: usize = 512;

const LINE_END: &str = "\r\n";

/// Whether `bytes`, the last ones received of a chunked body, end with its last chunk and its trailers.
///
/// The data of a chunk that is not complete can end in the same way. The answer is then wrong until more
/// of the body is received.
pub fn ends_chunked_body(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some(text) = text.strip_suffix("\r\n\r\n") else {
        return false;
    };
    for line in text.rsplit(LINE_END) {
        if is_last_chunk(line) {
            return true;
        }
        if !line.contains(':') {
            return false;
        }
    }
    false
}

/// Whether a line is the head of a chunk without data, perhaps with extensions.
fn is_last_chunk(line: &str) -> bool {
    let size = line.split(';').next().unwrap_or_default().trim();
    !size.is_empty() && size.bytes().all(|digit| digit == b'0')
}

#[cfg(test)]
#[path = "chunked_end_tests.rs"]
mod tests;
