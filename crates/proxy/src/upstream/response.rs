//! The result of an exchange with a backend.

use super::connection::{Connection, SendError};
use crate::http1::download::{StreamOutcome, StreamingResponse};
use balancer::{AttemptOutcome, LoadReport};
use bytes::Bytes;
use hyper::Response;
use std::error::Error;
use tokio::sync::oneshot;

/// The body of a response that is forwarded to a client.
pub enum ResponseBody {
    /// The whole body, which has been received.
    Buffered(Bytes),
    /// A body of which more is still to be received.
    Streaming(StreamingResponse),
}

/// A response to forward to the client.
pub enum ExchangeResponse {
    /// The whole response has been received.
    Complete(Response<ResponseBody>),
    /// The body of the response is still being received.
    Streaming {
        /// Head of the response and the body to be streamed.
        response: Response<ResponseBody>,
        /// Receives how the body ended. The channel closes without a value if the client
        /// disconnects.
        body_end: oneshot::Receiver<StreamOutcome>,
    },
}

/// Why a connection or a response failed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection failed before the response was read or a streamed one had begun.
    #[error("{error}{}", source_suffix(.error))]
    Connection {
        /// Error returned by hyper.
        error: hyper::Error,
    },
    /// A streamed response ended early, for this reason.
    #[error("{0}")]
    ResponseBody(String),
}

/// The result of an attempt or a load probe.
pub struct Exchange {
    /// How the exchange ended. It is [`AttemptOutcome::Success`] also for a streamed response that
    /// has only begun.
    pub outcome: AttemptOutcome,
    /// Load report in the response, if any.
    pub load_report: Option<LoadReport>,
    /// Response to forward; `None` for a load probe or an attempt that has not succeeded.
    pub response: Option<ExchangeResponse>,
    /// Connection for reuse once the response has been read; `None` if it cannot be reused.
    pub connection: Option<Connection>,
    /// Cause of a failure, where it is known.
    pub error: Option<ExchangeError>,
}

impl Exchange {
    /// Creates a result without response, load report and reusable connection.
    pub(super) fn failed(outcome: AttemptOutcome) -> Self {
        Exchange {
            outcome,
            load_report: None,
            response: None,
            connection: None,
            error: None,
        }
    }

    /// Creates the result of an exchange whose connection broke with `error`.
    pub(super) fn connection_reset(error: hyper::Error) -> Self {
        Exchange {
            error: Some(ExchangeError::Connection { error }),
            ..Exchange::failed(AttemptOutcome::ConnectionReset)
        }
    }
}

impl From<SendError> for Exchange {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Prevented => Exchange::failed(AttemptOutcome::NotSent),
            SendError::NotWritten(_) => Exchange::failed(AttemptOutcome::ConnectFailed),
            SendError::MayBeWritten(error) => Exchange::connection_reset(error),
        }
    }
}

/// Formats the source of an error as a suffix to its text, which hyper leaves out. Empty if the
/// error has no source.
fn source_suffix(error: &hyper::Error) -> String {
    error
        .source()
        .map(|source| format!(": {source}"))
        .unwrap_or_default()
}
