//! The list of servers: its form on the wire, and the watch that follows its changes.

use super::json_lines::{DecodeError, JsonLineDecoder, LONGEST_LINE};
use super::state::DiscoveryState;
use super::wire::{EndpointList, InvalidList};
use crate::socket::Socket;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

/// An empty line is due every 2 s, and what a silent watch misses counts as told 6 s after it fell
/// silent. One that has been silent for this long is taken for dead: that leaves time for one more
/// that answers and then says nothing, and for the next after it.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// For the connection to come up and the answer to begin, on request, where a call may have to wait
/// for its turn; and the most for a whole list.
pub const OPENING_TIMEOUT: Duration = SILENCE_TIMEOUT;
/// The same where lists are pushed, for the first try: what is known there counts as told, watch or
/// no watch. Each failed try doubles it, up to the other.
pub const INITIAL_OPENING_TIMEOUT: Duration = Duration::from_millis(300);
/// For the connection to come up.
const CONNECT: Duration = Duration::from_secs(1);
/// For what came while the whole node was held up.
const LAST_CHANCE: Duration = Duration::from_millis(5);
/// How a watch ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// No connection.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// Nothing came, not even an empty line.
    #[error("silent for too long")]
    Silent,
    /// The connection broke or spoke no HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The call was turned away.
    #[error("answered {0}")]
    Status(StatusCode),
    /// Discovery ended it.
    #[error("ended")]
    Ended,
    /// What came cannot be split into lists.
    #[error("unusable line: {0}")]
    Decode(#[from] DecodeError),
    /// What came is not an endpoint list.
    #[error("unusable line: {0}")]
    List(#[from] InvalidList),
    /// The response to a request for a snapshot could not be read to its end.
    #[error("unusable line: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The response to a request for a snapshot is a delta.
    #[error("unusable line: the list is not complete")]
    NotSnapshot,
}

impl WatchError {
    /// Whether nobody is there to answer calls.
    pub fn is_unreachable(&self) -> bool {
        matches!(self, WatchError::Connect(_) | WatchError::Http(_))
    }
}

/// Opens one watch from the version held on, which may take so long, and hands on what it brings
/// until it ends.
pub async fn watch(
    state: &Rc<DiscoveryState>,
    address: SocketAddr,
    opening: Duration,
) -> WatchError {
    if state.needs_snapshot() {
        // The version held comes from another address and may mean anything here, also one that is
        // newer.
        let call = DiscoveryCall::new(state, address, OPENING_TIMEOUT);
        if let Err(error) = call.clone().hear(fetch(call)).await {
            return error;
        }
    }
    let call = DiscoveryCall::new(state, address, opening);
    match call.clone().hear(run_watch(call)).await {
        Ok(()) => WatchError::Ended,
        Err(error) => error,
    }
}

/// One call to discovery, and how long it may still be silent.
#[derive(Clone)]
struct DiscoveryCall {
    state: Rc<DiscoveryState>,
    address: SocketAddr,
    /// By when it has to say something.
    silent_until: Rc<Cell<Instant>>,
    /// It was given up for its silence, and what it may still say is heard beside another call.
    given_up: Rc<Cell<bool>>,
}

impl DiscoveryCall {
    fn new(state: &Rc<DiscoveryState>, address: SocketAddr, patience: Duration) -> Self {
        let silent_until = Rc::new(Cell::new(Instant::now() + patience));
        DiscoveryCall {
            state: state.clone(),
            address,
            silent_until,
            given_up: Rc::default(),
        }
    }

    /// It has said something, and has to say more within [`SILENCE_TIMEOUT`].
    fn has_spoken(&self) {
        self.silent_until.set(Instant::now() + SILENCE_TIMEOUT);
    }

    /// Hands on a list.
    fn tell(&self, list: &EndpointList) {
        // Of a call that was given up only what is not older than all that was heard since counts.
        // A whole list of the same version may name fewer: it leaves out what drains.
        let awaited = self.state.needs_snapshot() && list.is_snapshot;
        if !self.given_up.get() || awaited || list.revision >= self.state.revision() {
            self.state.publish(list, self.address);
        }
        if !self.given_up.get() {
            self.state.drop_unanswered_call();
        }
    }

    /// Follows a conversation to its end, or until it has been silent for too long. What discovery
    /// has written counts as told, whether or not the node still waits for it: a silent
    /// conversation is heard on beside the next one.
    async fn hear(
        self,
        conversation: impl Future<Output = Result<(), WatchError>> + 'static,
    ) -> Result<(), WatchError> {
        let mut conversation = Box::pin(conversation);
        loop {
            let by = self.silent_until.get();
            if let Ok(ended) = timeout_at(by, conversation.as_mut()).await {
                return ended;
            }
            if self.silent_until.get() > by {
                continue;
            }
            // Something may have come while the whole node was held up: the system is asked once
            // more.
            if let Ok(ended) = timeout(LAST_CHANCE, conversation.as_mut()).await {
                return ended;
            }
            if self.silent_until.get() <= Instant::now() {
                break;
            }
        }
        self.given_up.set(true);
        self.state.keep_unanswered_call(self.address, conversation);
        Err(WatchError::Silent)
    }
}

async fn connect(address: SocketAddr) -> Result<Socket, WatchError> {
    match timeout(CONNECT, TcpStream::connect(address)).await {
        Ok(stream) => stream.map(Socket).map_err(WatchError::Connect),
        Err(_) => Err(WatchError::Silent),
    }
}

fn request(address: SocketAddr, query: &str) -> Request<Empty<Bytes>> {
    let request =
        Request::get(format!("/registry/instances{query}")).header("host", address.to_string());
    request
        .body(Empty::new())
        .expect("a fixed path and an address are valid")
}

/// Drives a connection and a dialogue on it. The connection comes first: what it has brought is
/// read before any of the dialogue's timers, and before its own end is noticed.
async fn converse<T>(
    connection: impl Future,
    dialogue: impl Future<Output = Result<T, WatchError>>,
) -> Result<T, WatchError> {
    let mut dialogue = std::pin::pin!(dialogue);
    tokio::select! {
        biased;
        _ = connection => {}
        ended = dialogue.as_mut() => return ended,
    }
    dialogue.await
}

/// Asks for the whole list, once.
async fn fetch(call: DiscoveryCall) -> Result<(), WatchError> {
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(connect(call.address).await?)).await?;
    let dialogue = async {
        let response = sender.send_request(request(call.address, "")).await?;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), LONGEST_LINE)
            .collect()
            .await;
        let list = EndpointList::parse(&body.map_err(WatchError::Body)?.to_bytes())?;
        if !list.is_snapshot {
            return Err(WatchError::NotSnapshot);
        }
        call.tell(&list);
        Ok(())
    };
    converse(connection, dialogue).await
}

async fn run_watch(call: DiscoveryCall) -> Result<(), WatchError> {
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(connect(call.address).await?)).await?;
    // The connection is driven here, so that nothing of it outlives the watch.
    let dialogue = async {
        let since = call.state.revision();
        let request = request(call.address, &format!("?follow=1&since={since}"));
        let response = sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status(response.status()));
        }
        if !call.given_up.get() {
            call.state.watch_opened();
        }
        let mut body = response.into_body();
        let mut held = JsonLineDecoder::default();
        call.has_spoken();
        // A machine that vanishes leaves its connections open and silent: only the clock tells. So
        // it does of a list that has begun and does not end, whatever else comes.
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if !held.begun() {
                call.has_spoken();
            }
            held.extend(&data);
            // After a bad one the next may rest on what it said: a new watch starts from the last
            // good one.
            while let Some(document) = held.next()? {
                call.tell(&EndpointList::parse(&document)?);
                call.has_spoken();
            }
        }
        Ok(())
    };
    converse(connection, dialogue).await
}
