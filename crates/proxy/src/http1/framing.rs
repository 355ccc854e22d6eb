//! Message framing: finds the end of a head, and how the body after it is delimited.
//!
//! This is stricter than RFC 9112 requires: every ambiguity about the length of a body is an error,
//! since another HTTP implementation on the path may resolve it differently.

use crate::http1::error::MessageError;
use crate::http1::limits::{MAX_BODY_BYTES, MAX_HEADERS};

/// What is expected next among the bytes received on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// The head of a message.
    Head,
    /// This many more bytes of a body; 0 once the message is complete.
    Body(u64),
    /// A body of unknown size, chunked or ended by the connection: only hyper finds its end.
    Unsized,
    /// Nothing, until something was written: any byte before that is an error.
    Nothing,
    /// Nothing more: the rest of the input of the connection is ignored.
    Closed,
}

/// The head of a message, parsed as far as its framing needs.
#[derive(Debug, PartialEq, Eq)]
pub struct Head {
    /// Length of the head in bytes.
    pub length: usize,
    /// What is expected after the head.
    pub next: Expected,
}

/// Parses the head of a request at the beginning of `bytes`; `None` if it is not complete yet.
///
/// # Errors
///
/// Returns why the request has to be rejected, which may be known before its head is complete: the
/// head is malformed, has too many header lines or an unsupported method, declares a body
/// ambiguously or of more than [`MAX_BODY_BYTES`], or the bytes behind the request cannot begin
/// another one.
pub fn parse_request_head(bytes: &[u8]) -> Result<Option<Head>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(MessageError::TooManyHeaders),
        Err(_) => return Err(MessageError::UnreadableHead),
    };
    if !matches!(request.method, Some("GET" | "POST")) {
        return Err(MessageError::UnsupportedMethod);
    }
    let next = match BodyLength::of(request.headers)? {
        BodyLength::Known(body) if body > MAX_BODY_BYTES => {
            return Err(MessageError::BodyTooLarge);
        }
        BodyLength::Known(body) => Expected::Body(body),
        BodyLength::Unspecified => Expected::Body(0),
        BodyLength::Chunked if request.version != Some(1) => {
            return Err(MessageError::ChunkedHttp10);
        }
        BodyLength::Chunked => Expected::Unsized,
    };
    // The bytes that follow a request have to begin another one. Otherwise the declared length is
    // wrong, and nothing about the request can be trusted.
    if let Expected::Body(body) = next {
        let following = bytes.get(length + body as usize..).unwrap_or_default();
        if !may_begin_request(following) {
            return Err(MessageError::TrailingBytes);
        }
    }
    Ok(Some(Head { length, next }))
}

/// Parses the head of a response at the beginning of `bytes`; `None` if it is not complete yet.
///
/// # Errors
///
/// Returns what is wrong with the response, which may be known before its head is complete: the
/// head is malformed or has more than [`MAX_HEADERS`] lines, switches protocols, or declares a body
/// ambiguously or of more than [`MAX_BODY_BYTES`].
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<Head>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(MessageError::UnreadableHead),
    };
    let next = match (response.code, BodyLength::of(response.headers)?) {
        (Some(101), _) => return Err(MessageError::UnexpectedProtocolSwitch),
        (Some(100..200), _) => Expected::Head,
        (Some(204 | 304), _) => Expected::Body(0),
        (_, BodyLength::Known(body)) if body <= MAX_BODY_BYTES => Expected::Body(body),
        (_, BodyLength::Known(_)) => return Err(MessageError::BodyTooLarge),
        (_, BodyLength::Chunked) if response.version == Some(1) => Expected::Unsized,
        (_, BodyLength::Chunked) => return Err(MessageError::ChunkedHttp10),
        // The body ends with the connection, which hyper finds as well.
        (_, BodyLength::Unspecified) => Expected::Unsized,
    };
    Ok(Some(Head { length, next }))
}

/// Whether `bytes`, after at most one empty line, are the beginning of a request with a supported
/// method, or may become one as more are received.
pub fn may_begin_request(bytes: &[u8]) -> bool {
    let bytes = bytes.strip_prefix(b"\r\n").unwrap_or(bytes);
    let may_begin_with = |method: &[u8]| bytes.iter().zip(method).all(|(a, b)| a == b);
    may_begin_with(b"GET ") || may_begin_with(b"POST ")
}

/// How the headers of a message declare the length of its body.
enum BodyLength {
    Unspecified,
    Known(u64),
    Chunked,
}

impl BodyLength {
    /// Reads the headers that delimit a body, and rejects any ambiguity between them.
    fn of(headers: &[httparse::Header]) -> Result<Self, MessageError> {
        let values = |name: &'static str| {
            let has_name = move |h: &&httparse::Header| h.name.eq_ignore_ascii_case(name);
            headers
                .iter()
                .filter(has_name)
                .map(|h| h.value.trim_ascii())
        };
        let mut lengths = values("content-length");
        let mut codings = values("transfer-encoding");
        match (lengths.next(), codings.next()) {
            (None, None) => Ok(BodyLength::Unspecified),
            (Some(_), Some(_)) => Err(MessageError::LengthAndTransferEncoding),
            (None, Some(coding))
                if coding.eq_ignore_ascii_case(b"chunked") && codings.next().is_none() =>
            {
                Ok(BodyLength::Chunked)
            }
            (None, Some(_)) => Err(MessageError::UnsupportedTransferEncoding),
            (Some(length), None) if lengths.all(|other| other == length) => {
                parse_length(length).map(BodyLength::Known)
            }
            (Some(_), None) => Err(MessageError::ConflictingLengths),
        }
    }
}

/// Parses a `Content-Length`: decimal digits only, without a sign.
fn parse_length(length: &[u8]) -> Result<u64, MessageError> {
    if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
        return Err(MessageError::InvalidLength);
    }
    std::str::from_utf8(length)
        .ok()
        .and_then(|digits| digits.parse().ok())
        .ok_or(MessageError::InvalidLength)
}

#[cfg(test)]
#[path = "framing_tests.rs"]
mod tests;
