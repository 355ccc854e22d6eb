//! HTTP calls to discovery: one fetches a snapshot of the endpoint list, the other one opens a
//! watch.

use super::json_objects::{DecodeError, JsonObjectDecoder, MAX_OBJECT_BYTES};
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

/// Path of the endpoint list at discovery.
const LIST_PATH: &str = "/registry/instances";
/// A watch that receives nothing for this long has timed out. Discovery sends an empty line every
/// 2 s.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Limit on the time to connect and to receive the head of a watch's response, before which
/// discovery may queue calls. Also the limit on the time to receive a whole snapshot.
pub const OPENING_TIMEOUT: Duration = SILENCE_TIMEOUT;
/// Limit on the time to open a watch at the first attempt where lists are pushed. Each further
/// attempt has twice as long, up to [`OPENING_TIMEOUT`].
pub const INITIAL_OPENING_TIMEOUT: Duration = Duration::from_millis(300);
/// Limit on the time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a timeout in which data is still read that arrived while the whole process was
/// suspended.
const RESUME_GRACE: Duration = Duration::from_millis(5);

/// Why a call to discovery failed or ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// Connecting took longer than [`CONNECT_TIMEOUT`], or nothing was received for too long, not
    /// even an empty line.
    #[error("silent for too long")]
    Silent,
    /// The connection broke, or the peer does not speak HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// Discovery answered with a status other than 200.
    #[error("rejected with status {0}")]
    Status(StatusCode),
    /// Discovery ended the response of the watch.
    #[error("ended by discovery")]
    Ended,
    /// The data received cannot be split into JSON objects.
    #[error("invalid list: {0}")]
    Decode(#[from] DecodeError),
    /// A JSON object received is not a valid endpoint list.
    #[error("invalid list: {0}")]
    List(#[from] InvalidList),
    /// The body of a snapshot's response failed, or exceeds [`MAX_OBJECT_BYTES`].
    #[error("invalid list: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// A delta was received in response to a request for a snapshot.
    #[error("invalid list: a delta was received instead of a snapshot")]
    NotSnapshot,
}

impl WatchError {
    /// Returns whether the call failed without a response or a timeout: the connection could not be
    /// established, broke, or does not speak HTTP. Then no server is there to be overloaded.
    pub fn is_unreachable(&self) -> bool {
        matches!(self, WatchError::Connect(_) | WatchError::Http(_))
    }
}

/// Opens one watch at `address` that starts from the current list's revision, and publishes the
/// lists it receives. Fetches a snapshot first if the state needs one. Returns why the watch ended.
///
/// `opening_timeout` limits the time to connect and to receive the head of the watch's response.
///
/// # Cancellation
///
/// Dropping the future ends the call, except for one that timed out: [`DiscoveryState`] keeps that
/// running for a while.
pub async fn watch(
    state: &Rc<DiscoveryState>,
    address: SocketAddr,
    opening_timeout: Duration,
) -> WatchError {
    if state.needs_snapshot() {
        // The current revision comes from another address. It has no meaning at this one, where it
        // may even be newer than the list.
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

/// One call to discovery. Clones refer to the same call.
#[derive(Clone)]
struct DiscoveryCall {
    state: Rc<DiscoveryState>,
    address: SocketAddr,
    /// When the call times out unless data is received.
    deadline: Rc<Cell<Instant>>,
    /// Whether the call has timed out. It may still receive lists, in parallel with other calls.
    has_timed_out: Rc<Cell<bool>>,
}

impl DiscoveryCall {
    /// Creates a call that times out unless it receives data within `response_timeout`.
    fn new(state: &Rc<DiscoveryState>, address: SocketAddr, response_timeout: Duration) -> Self {
        DiscoveryCall {
            state: state.clone(),
            address,
            deadline: Rc::new(Cell::new(Instant::now() + response_timeout)),
            has_timed_out: Rc::default(),
        }
    }

    /// Moves the deadline after data was received: more has to follow within [`SILENCE_TIMEOUT`].
    fn extend_deadline(&self) {
        self.deadline.set(Instant::now() + SILENCE_TIMEOUT);
    }

    /// Publishes a list that was received, unless the call has timed out and the list is out of
    /// date.
    fn publish(&self, list: &EndpointList) {
        // A list of a call that has timed out is used if it is a needed snapshot or no older than
        // the current list. One of the same revision is used: a snapshot may name fewer endpoints,
        // since it omits draining ones.
        let is_awaited = self.state.needs_snapshot() && list.is_snapshot;
        let is_current = list.revision >= self.state.revision();
        if !self.has_timed_out.get() || is_awaited || is_current {
            self.state.publish(list, self.address);
        }
        if !self.has_timed_out.get() {
            self.state.drop_unanswered_call();
        }
    }

    /// Runs the call's exchange to its end, or until the call times out.
    ///
    /// An exchange that times out continues in parallel with the next call: what discovery has sent
    /// must be applied, whether or not the proxy still waits for it.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange, or [`WatchError::Silent`] after a timeout.
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
        self.has_timed_out.set(true);
        self.state.keep_unanswered_call(self.address, exchange);
        Err(WatchError::Silent)
    }
}

/// Fetches a snapshot of the endpoint list and publishes it.
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

/// Watches the list from the current revision on, until discovery ends the watch.
async fn run_watch(call: DiscoveryCall) -> Result<(), WatchError> {
    let (mut sender, connection) = open_connection(call.address).await?;
    let exchange = async {
        let query = format!("?follow=1&since={}", call.state.revision());
        let response = send_request(&mut sender, call.address, &query).await?;
        if !call.has_timed_out.get() {
            call.state.watch_opened();
        }
        call.extend_deadline();
        receive_lists(&call, response.into_body()).await
    };
    drive_connection(connection, exchange).await
}

/// Publishes the lists that a watch receives, until discovery ends the watch.
async fn receive_lists(call: &DiscoveryCall, mut body: Incoming) -> Result<(), WatchError> {
    let mut decoder = JsonObjectDecoder::default();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        // A list that has begun must end before the deadline, however much of it arrives meanwhile.
        if !decoder.is_mid_object() {
            call.extend_deadline();
        }
        decoder.extend(&data);
        // An invalid list ends the watch, since the next list may be a delta to it. A new watch
        // starts from the last valid list.
        while let Some(object) = decoder.next_object()? {
            call.publish(&EndpointList::parse(&object)?);
            call.extend_deadline();
        }
    }
    Ok(())
}

/// The future of a connection to discovery. The connection makes progress only while it is polled.
type Connection = http1::Connection<TokioIo<Socket>, Empty<Bytes>>;
/// Sends requests on a connection to discovery.
type RequestSender = http1::SendRequest<Empty<Bytes>>;

async fn open_connection(address: SocketAddr) -> Result<(RequestSender, Connection), WatchError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| WatchError::Silent)?
        .map_err(WatchError::Connect)?;
    Ok(http1::handshake(TokioIo::new(Socket(stream))).await?)
}

/// Requests the endpoint list, and returns the response once its head has been received. `query` is
/// empty or begins with `?`.
///
/// # Errors
///
/// Returns [`WatchError::Http`] if the connection fails, and [`WatchError::Status`] for a status
/// other than 200.
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

/// Polls a connection and an exchange on it, until the exchange ends. The connection is polled
/// first: data that has arrived is read before any timer of the exchange fires, and before the end
/// of the connection is noticed.
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
