//! Why a message is rejected.

use hyper::StatusCode;
use thiserror::Error;

/// What is wrong with a message, or with the pace at which it is sent.
///
/// The text goes into the log and, for a request, into the body of the response that rejects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The head is not HTTP/1.
    #[error("the head can't be read")]
    UnreadableHead,
    /// The head exceeds [`MAX_HEAD_BYTES`](crate::http1::limits::MAX_HEAD_BYTES).
    #[error("the head is too long")]
    HeadTooLong,
    /// The head has more lines than [`MAX_HEADERS`](crate::http1::limits::MAX_HEADERS).
    #[error("too many headers")]
    TooManyHeaders,
    /// The head was not complete in time.
    #[error("the head took too long")]
    HeadTimeout,
    /// The method is neither GET nor POST.
    #[error("GET and POST are known here")]
    UnsupportedMethod,
    /// The response switches to a protocol that was not requested.
    #[error("the response switches to a protocol that was not requested")]
    UnexpectedProtocolSwitch,
    /// The head has both headers that delimit a body.
    #[error("Content-Length and Transfer-Encoding exclude each other")]
    LengthAndTransferEncoding,
    /// The transfer coding is not `chunked` alone.
    #[error("Transfer-Encoding is not understood")]
    UnsupportedTransferEncoding,
    /// The length is not a decimal number that fits.
    #[error("Content-Length is no number")]
    InvalidLength,
    /// The length is given several times, with different values.
    #[error("Content-Length differs from itself")]
    ConflictingLengths,
    /// A chunked body in a version of HTTP that has none.
    #[error("HTTP/1.0 knows no chunks")]
    ChunkedHttp10,
    /// Bytes follow the message that are not the beginning of another one.
    #[error("more came than the head says")]
    TrailingBytes,
    /// The body exceeds [`MAX_BODY_BYTES`](crate::http1::limits::MAX_BODY_BYTES).
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body ended early, or its chunks are malformed.
    #[error("the body is not whole")]
    IncompleteBody,
    /// The body arrived too slowly.
    #[error("the body took too long")]
    BodyTimeout,
}

impl MessageError {
    /// The status of the response that rejects a request with this error.
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
