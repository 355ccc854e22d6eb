//! Message framing: where a head ends, and how its body is delimited.
//!
//! Stricter than RFC 9112 asks for: every ambiguity about the length of a body is an error, since
//! another HTTP implementation on the path may resolve it differently.

use crate::http1::error::MessageError;
use crate::http1::limits::{MAX_BODY_BYTES, MAX_HEADERS};

/// What may come next on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// A head.
    Head,
    /// This many more bytes of a body.
    Body(u64),
    /// A body of which only hyper finds the end.
    Chunked,
    /// Nothing, until something is written.
    Nothing,
    /// Nothing more: the rest of the connection's input is ignored.
    Closed,
}

/// The head of a message, parsed as far as its framing needs.
#[derive(Debug, PartialEq, Eq)]
pub struct Head {
    /// Length of the head in bytes.
    pub length: usize,
    /// What follows it.
    pub next: Expected,
}

/// Parses the head of a request; `None` if more of it is still to come.
///
/// # Errors
///
/// Returns why the request has to be rejected, which may be known before its head is complete.
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
        BodyLength::Chunked => Expected::Chunked,
    };
    // Whatever follows a request has to begin another one. Otherwise the declared length is wrong,
    // and nothing about the request can be trusted.
    if let Expected::Body(body) = next {
        let following = bytes.get(length + body as usize..).unwrap_or_default();
        if !may_begin_request(following) {
            return Err(MessageError::TrailingBytes);
        }
    }
    Ok(Some(Head { length, next }))
}

/// Parses the head of a response; `None` if more of it is still to come.
///
/// # Errors
///
/// Returns what is wrong with the response, which may be known before its head is complete.
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
        (_, BodyLength::Chunked) if response.version == Some(1) => Expected::Chunked,
        (_, BodyLength::Chunked) => return Err(MessageError::ChunkedHttp10),
        // The end of the connection ends the body; hyper finds that one as well.
        (_, BodyLength::Unspecified) => Expected::Chunked,
    };
    Ok(Some(Head { length, next }))
}

/// Whether bytes are the beginning of a request, or may become one.
pub fn may_begin_request(bytes: &[u8]) -> bool {
    let bytes = bytes.strip_prefix(b"\r\n").unwrap_or(bytes);
    let agrees_with = |method: &[u8]| bytes.iter().zip(method).all(|(a, b)| a == b);
    agrees_with(b"GET ") || agrees_with(b"POST ")
}

/// How the headers delimit a body.
enum BodyLength {
    Unspecified,
    Known(u64),
    Chunked,
}

impl BodyLength {
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
