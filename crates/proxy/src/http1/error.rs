//! The reasons for which a request or a response is rejected as an HTTP message.

use hyper::StatusCode;
use thiserror::Error;

/// What is wrong with a message, or with the pace at which it is sent.
///
/// The text is written to the log. For a request it is also sent to the client, as the body of the
/// response that rejects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The head cannot be parsed as HTTP/1.
    #[error("the head can't be read")]
    UnreadableHead,
    /// The head, with interim responses before it, exceeds
    /// [`MAX_HEAD_BYTES`](crate::http1::limits::MAX_HEAD_BYTES).
    #[error("the head is too long")]
    HeadTooLong,
    /// The head of a request has more header lines than
    /// [`MAX_HEADERS`](crate::http1::limits::MAX_HEADERS).
    #[error("too many headers")]
    TooManyHeaders,
    /// The head of a request was not complete in time.
    #[error("the head took too long")]
    HeadTimeout,
    /// The method of a request is neither GET nor POST.
    #[error("GET and POST are known here")]
    UnsupportedMethod,
    /// The status of a response is 101, although no request asks for another protocol.
    #[error("the response switches to a protocol that was not requested")]
    UnexpectedProtocolSwitch,
    /// The head has both `Content-Length` and `Transfer-Encoding`, so that the end of the body is
    /// ambiguous.
    #[error("Content-Length and Transfer-Encoding exclude each other")]
    LengthAndTransferEncoding,
    /// `Transfer-Encoding` is anything other than `chunked`, once.
    #[error("Transfer-Encoding is not understood")]
    UnsupportedTransferEncoding,
    /// `Content-Length` is not a decimal number that fits into 64 bits.
    #[error("Content-Length is no number")]
    InvalidLength,
    /// `Content-Length` is given several times, with different values.
    #[error("Content-Length differs from itself")]
    ConflictingLengths,
    /// A message of HTTP/1.0 has a chunked body, which that version does not define.
    #[error("HTTP/1.0 knows no chunks")]
    ChunkedHttp10,
    /// The bytes that follow a request are not the beginning of another one.
    #[error("more came than the head says")]
    TrailingBytes,
    /// The body exceeds [`MAX_BODY_BYTES`](crate::http1::limits::MAX_BODY_BYTES).
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body of a request ended early, or its chunks are malformed.
    #[error("the body is not whole")]
    IncompleteBody,
    /// The body of a request was received too slowly.
    #[error("the body took too long")]
    BodyTimeout,
}

impl MessageError {
    /// Returns the status of the response that rejects a request with this error, always 4xx.
    pub fn status(self) -> StatusCode {
        match self {
            MessageError::HeadTooLong | MessageError::TooManyHeaders => {
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
            }
            MessageError::HeadTimeout | MessageError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            MessageError::UnsupportedMethod => StatusCode::METHOD_NOT_ALLOWED,
            MessageError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            MessageError::UnreadableHead
            | MessageError::UnexpectedProtocolSwitch
            | MessageError::LengthAndTransferEncoding
            | MessageError::UnsupportedTransferEncoding
            | MessageError::InvalidLength
            | MessageError::ConflictingLengths
            | MessageError::ChunkedHttp10
            | MessageError::TrailingBytes
            | MessageError::IncompleteBody => StatusCode::BAD_REQUEST,
        }
    }
}
