//! Calls to discovery: one that fetches a snapshot of the endpoint list, and one that watches it.

use super::json_lines::{DecodeError, JsonLineDecoder, MAX_OBJECT_BYTES};
use super::state::DiscoveryState;
use super::wire::{EndpointList, InvalidList};
use crate::socket::Socket;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

/// Path of the endpoint list.
const LIST_PATH: &str = "/registry/instances";
/// A watch that receives nothing for this long is given up. Discovery sends an empty line every 2 s.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// For the connection and the head of the response, where discovery may queue calls; and for a whole
/// snapshot.
pub const OPENING_TIMEOUT: Duration = SILENCE_TIMEOUT;
/// The same for the first attempt where lists are pushed. Each further attempt has twice as long, up
/// to [`OPENING_TIMEOUT`].
pub const INITIAL_OPENING_TIMEOUT: Duration = Duration::from_millis(300);
/// For the connection alone.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// After a timeout, for data that arrived while the whole process was suspended.
const RESUME_GRACE: Duration = Duration::from_millis(5);

/// Why a call to discovery failed or ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// There is no connection.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// Nothing was received for too long, not even an empty line.
    #[error("silent for too long")]
    Silent,
    /// The connection broke, or the peer does not speak HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The call was rejected.
    #[error("rejected with {0}")]
    Status(StatusCode),
    /// Discovery ended the watch.
    #[error("ended by discovery")]
    Ended,
    /// The data received cannot be split into lists.
    #[error("invalid list: {0}")]
    Decode(#[from] DecodeError),
    /// An object received is not an endpoint list.
    #[error("invalid list: {0}")]
    List(#[from] InvalidList),
    /// A snapshot could not be read to its end.
    #[error("invalid list: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// A delta was received where a snapshot was requested.
    #[error("invalid list: the list is not complete")]
    NotSnapshot,
}

impl WatchError {
    /// Whether nobody is there to answer calls.
    pub fn is_unreachable(&self) -> bool {
        matches!(self, WatchError::Connect(_) | WatchError::Http(_))
    }
}

/// Opens one watch, from the revision held on, and publishes the lists it receives. Returns why it
/// ended.
///
/// `opening_timeout` is for the connection and the head of the response.
///
/// # Cancellation
///
/// Dropping the future ends the call, except for one that was given up as unanswered:
/// [`DiscoveryState`] keeps that for a while.
pub async fn watch(
    state: &Rc<DiscoveryState>,
    address: SocketAddr,
    opening_timeout: Duration,
) -> WatchError {
    if state.needs_snapshot() {
        // The revision held comes from another address and may mean anything here, also one that is
        // newer.
        let call = DiscoveryCall::new(state, address, OPENING_TIMEOUT);
        if let Err(error) = call.clone().drive(fetch_snapshot(call)).await {
            return error;
        }
    }
    let call = DiscoveryCall::new(state, address, opening_timeout);
    match call.clone().drive(run_watch(call)).await {
        Ok(()) => WatchError::Ended,
        Err(error) => error,
    }
}

/// One call to discovery. Clones are of the same call.
#[derive(Clone)]
struct DiscoveryCall {
    state: Rc<DiscoveryState>,
    address: SocketAddr,
    /// By when data has to be received.
    deadline: Rc<Cell<Instant>>,
    /// Whether the call was given up as unanswered. It may still receive lists, beside other calls.
    is_given_up: Rc<Cell<bool>>,
}

impl DiscoveryCall {
    /// A call that is given up unless it receives data within `response_timeout`.
    fn new(state: &Rc<DiscoveryState>, address: SocketAddr, response_timeout: Duration) -> Self {
        DiscoveryCall {
            state: state.clone(),
            address,
            deadline: Rc::new(Cell::new(Instant::now() + response_timeout)),
            is_given_up: Rc::default(),
        }
    }

    /// Notes that data was received. More has to follow within [`SILENCE_TIMEOUT`].
    fn extend_deadline(&self) {
        self.deadline.set(Instant::now() + SILENCE_TIMEOUT);
    }

    /// Publishes a list that was received.
    fn publish(&self, list: &EndpointList) {
        // A list of a call that was given up counts if it is not older than the list held. One of
        // the same revision counts: a snapshot may name fewer endpoints, since it omits those that
        // drain.
        let is_awaited = self.state.needs_snapshot() && list.is_snapshot;
        let is_current = list.revision >= self.state.revision();
        if !self.is_given_up.get() || is_awaited || is_current {
            self.state.publish(list, self.address);
        }
        if !self.is_given_up.get() {
            self.state.drop_unanswered_call();
        }
    }

    /// Runs the call's exchange to its end, or until nothing is received for too long. The exchange
    /// goes on beside the next call then: what discovery has sent has to be applied, whether or not
    /// the proxy still waits for it.
    async fn drive(
        self,
        exchange: impl Future<Output = Result<(), WatchError>> + 'static,
    ) -> Result<(), WatchError> {
        let mut exchange = Box::pin(exchange);
        loop {
            let deadline = self.deadline.get();
            if let Ok(result) = timeout_at(deadline, exchange.as_mut()).await {
                return result;
            }
            if self.deadline.get() > deadline {
                continue;
            }
            // Data may have arrived while the whole process was suspended.
            if let Ok(result) = timeout(RESUME_GRACE, exchange.as_mut()).await {
                return result;
            }
            if self.deadline.get() <= Instant::now() {
                break;
            }
        }
        self.is_given_up.set(true);
        self.state.keep_unanswered_call(self.address, exchange);
        Err(WatchError::Silent)
    }
}

/// Fetches a snapshot.
async fn fetch_snapshot(call: DiscoveryCall) -> Result<(), WatchError> {
    let (mut sender, connection) = open_connection(call.address).await?;
    let exchange = async {
        let response = send_request(&mut sender, call.address, "").await?;
        let body = Limited::new(response.into_body(), MAX_OBJECT_BYTES)
            .collect()
            .await
            .map_err(WatchError::Body)?;
        let list = EndpointList::parse(&body.to_bytes())?;
        if !list.is_snapshot {
            return Err(WatchError::NotSnapshot);
        }
        call.publish(&list);
        Ok(())
    };
    drive_connection(connection, exchange).await
}

/// Watches the list from the revision held on, until discovery ends the watch.
async fn run_watch(call: DiscoveryCall) -> Result<(), WatchError> {
    let (mut sender, connection) = open_connection(call.address).await?;
    let exchange = async {
        let query = format!("?follow=1&since={}", call.state.revision());
        let response = send_request(&mut sender, call.address, &query).await?;
        if !call.is_given_up.get() {
            call.state.watch_opened();
        }
        call.extend_deadline();
        receive_lists(&call, response.into_body()).await
    };
    drive_connection(connection, exchange).await
}

/// Publishes the lists of a watch, until discovery ends it.
async fn receive_lists(call: &DiscoveryCall, mut body: Incoming) -> Result<(), WatchError> {
    let mut decoder = JsonLineDecoder::default();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        // A list that has begun has to end in time, however much of it arrives meanwhile.
        if !decoder.is_mid_object() {
            call.extend_deadline();
        }
        decoder.extend(&data);
        // An invalid list ends the watch, since the next one may build on it: a new watch starts
        // from the last valid one.
        while let Some(object) = decoder.next_object()? {
            call.publish(&EndpointList::parse(&object)?);
            call.extend_deadline();
        }
    }
    Ok(())
}

/// A connection to discovery, which does nothing unless it is driven.
type Connection = http1::Connection<TokioIo<Socket>, Empty<Bytes>>;
type RequestSender = http1::SendRequest<Empty<Bytes>>;

async fn open_connection(address: SocketAddr) -> Result<(RequestSender, Connection), WatchError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| WatchError::Silent)?
        .map_err(WatchError::Connect)?;
    Ok(http1::handshake(TokioIo::new(Socket(stream))).await?)
}

/// Asks for the endpoint list, and returns the response once its head is there.
async fn send_request(
    sender: &mut RequestSender,
    address: SocketAddr,
    query: &str,
) -> Result<Response<Incoming>, WatchError> {
    let request = Request::get(format!("{LIST_PATH}{query}"))
        .header("host", address.to_string())
        .body(Empty::new())
        .expect("a fixed path and an address are valid");
    let response = sender.send_request(request).await?;
    match response.status() {
        StatusCode::OK => Ok(response),
        status => Err(WatchError::Status(status)),
    }
}

/// Drives a connection and an exchange on it. The connection is polled first: data that has arrived
/// is read before any of the exchange's timers, and before the connection's end is noticed.
async fn drive_connection<T>(
    connection: impl Future,
    exchange: impl Future<Output = Result<T, WatchError>>,
) -> Result<T, WatchError> {
    let mut exchange = std::pin::pin!(exchange);
    tokio::select! {
        biased;
        _ = connection => {}
        result = exchange.as_mut() => return result,
    }
    exchange.await
}
