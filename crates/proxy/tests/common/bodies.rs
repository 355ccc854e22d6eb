//! Bodies of messages, and requests with bodies of the sizes around what a node buffers.

use super::connection::Connection;
use std::fmt::Write as _;
use std::time::Duration;

/// Largest body that a node buffers by its size alone.
pub const BUFFER_LIMIT: usize = 64 << 10;

/// Most bytes that a node adds to a body by one read.
pub const MAX_FRAME_BYTES: usize = 16 << 10;

/// Sizes of bodies on both sides of the limit: by one byte, by a part of a frame, by a whole frame,
/// and far beyond it.
pub const BODY_SIZES: [usize; 7] = [
    BUFFER_LIMIT - 1,
    BUFFER_LIMIT,
    BUFFER_LIMIT + 1,
    BUFFER_LIMIT + MAX_FRAME_BYTES / 2,
    BUFFER_LIMIT + MAX_FRAME_BYTES,
    BUFFER_LIMIT + MAX_FRAME_BYTES + 1,
    300_000,
];

/// Sizes of bodies of which every attempt can send all, since none reads beyond what is buffered.
pub const REPEATABLE_SIZES: [usize; 3] = [1, BUFFER_LIMIT, BUFFER_LIMIT + 1];

/// Returns a text of this many bytes in which no two parts are alike: numbers in ascending order.
pub fn numbered_text(length: usize) -> String {
    let mut text = String::new();
    let mut number = 0;
    while text.len() < length {
        write!(text, "{number:07x} ").expect("writing to a string cannot fail");
        number += 1;
    }
    text.truncate(length);
    text
}

/// How the end of a body is declared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By `Content-Length`.
    Length,
    /// By the last chunk; the data is one chunk before it.
    Chunked,
}

/// Both framings.
pub const FRAMINGS: [Framing; 2] = [Framing::Length, Framing::Chunked];

impl Framing {
    /// Returns the head of a request with a body of `length` bytes, up to the first byte of the
    /// body's data. `timeout` is the time that the client gives the request.
    pub fn head(self, id: &str, class: &str, timeout: Duration, length: usize) -> String {
        let framing = match self {
            Framing::Length => format!("Content-Length: {length}\r\n\r\n"),
            Framing::Chunked => format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n"),
        };
        format!(
            "POST /{class} HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: {}m\r\n\
             X-Tenant-Id: one\r\nIdempotency-Key: k\r\n{framing}",
            timeout.as_millis()
        )
    }

    /// Returns what follows the last byte of the body's data.
    pub fn end(self) -> &'static str {
        match self {
            Framing::Length => "",
            Framing::Chunked => "\r\n0\r\n\r\n",
        }
    }

    /// Returns a whole request.
    pub fn request(self, id: &str, class: &str, timeout: Duration, body: &str) -> String {
        self.head(id, class, timeout, body.len()) + body + self.end()
    }
}

/// Asserts that the attempt on a connection has all of `body`, and serves it.
pub async fn serve_whole_request(mut connection: Connection, body: &str, case: &str) {
    let received = connection.read_streamed().await.1;
    assert!(received.as_deref() == Some(body.as_bytes()), "{case}");
    connection
        .respond("200 OK", "Connection: close\r\n", "done")
        .await;
}
