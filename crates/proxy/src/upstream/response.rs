//! What an exchange with a backend comes to.

use super::connection::{Connection, SendError};
use crate::http1::download::{StreamOutcome, StreamingResponse};
use balancer::{AttemptOutcome, LoadReport};
use bytes::Bytes;
use hyper::Response;
use std::error::Error;
use tokio::sync::oneshot;

/// The body of a response.
pub enum ResponseBody {
    /// All of it has been received.
    Buffered(Bytes),
    /// More of it is still to come.
    Streaming(StreamingResponse),
}

/// A response to forward to the client.
pub enum ExchangeResponse {
    /// All of it has been received.
    Complete(Response<ResponseBody>),
    /// Its body is still being received.
    Streaming {
        /// The response.
        response: Response<ResponseBody>,
        /// Receives how its body ended; closed without a value if the client disconnected.
        body_end: oneshot::Receiver<StreamOutcome>,
    },
}

/// What was wrong with a connection or a response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection failed.
    #[error("{error}{}", cause(.error))]
    Connection {
        /// Hyper's error.
        error: hyper::Error,
    },
    /// A streamed response ended early.
    #[error("{0}")]
    ResponseBody(String),
}

/// The result of an attempt or a load probe.
pub struct Exchange {
    /// How it ended, or that a response has begun.
    pub outcome: AttemptOutcome,
    /// The load report that came along.
    pub load_report: Option<LoadReport>,
    /// The response to forward, of an attempt that succeeded.
    pub response: Option<ExchangeResponse>,
    /// The connection, if it may be reused once the response was read.
    pub connection: Option<Connection>,
    /// What was wrong, where that is known.
    pub error: Option<ExchangeError>,
}

impl Exchange {
    pub(super) fn failed(outcome: AttemptOutcome) -> Self {
        Exchange {
            outcome,
            load_report: None,
            response: None,
            connection: None,
            error: None,
        }
    }

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

fn cause(error: &hyper::Error) -> String {
    error
        .source()
        .map(|source| format!(": {source}"))
        .unwrap_or_default()
}
