//! The list of servers: its form on the wire, and the watch that follows its changes.

use super::state::DiscoveryState;
use crate::socket::Socket;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::IgnoredAny;
use serde::Deserialize;
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
/// Longest list that is taken in.
const LONGEST_LINE: usize = 4 << 20;

/// Servers, all of them or those that have changed.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    /// Version of the list.
    pub revision: u64,
    /// Whether those not named are gone.
    pub complete: bool,
    /// The servers.
    pub members: Vec<ListedEndpoint>,
}

/// One server, as discovery describes it.
#[derive(Debug, Deserialize)]
pub struct ListedEndpoint {
    /// Its name, the same at every node.
    pub id: String,
    /// Where it listens. One that has left needs none.
    pub host_port: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub locality: String,
    /// Its machine kind.
    #[serde(default)]
    pub flavor: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u16,
    /// What it takes.
    pub phase: EndpointPhase,
    /// Its weight.
    #[serde(default = "one")]
    pub size: f64,
    /// Its latest start in Unix time; 0 for long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

impl ListedEndpoint {
    /// Its latest start in Unix time; zero for long ago.
    pub fn stamp(&self) -> Duration {
        Duration::from_millis(self.up_since_ms)
    }
}

fn one() -> f64 {
    1.0
}

/// What a server takes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum EndpointPhase {
    /// New requests.
    Active,
    /// Nothing new.
    Leaving,
    /// It is no more.
    Left,
}

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
    /// A line that is no server list.
    #[error("unusable line: {0}")]
    BadLine(String),
}

impl WatchError {
    /// Whether nobody is there to answer calls.
    pub fn is_unreachable(&self) -> bool {
        matches!(self, WatchError::Connect(_) | WatchError::Http(_))
    }
}

/// Takes a stream of JSON objects apart, however it is cut and indented.
#[derive(Default)]
struct JsonLineDecoder {
    held: BytesMut,
    /// So much of it was looked at ...
    searched: usize,
    /// ... with so many braces and brackets open there, ...
    depth: usize,
    /// ... and whether inside a string, and there behind a backslash.
    string: bool,
    escaped: bool,
    /// Of what is not whole so much was found to be good JSON so far.
    sound: usize,
}

impl JsonLineDecoder {
    /// Whether one has begun.
    fn begun(&self) -> bool {
        self.depth > 0
    }

    fn extend(&mut self, data: &[u8]) {
        self.held.extend_from_slice(data);
    }

    /// The next whole one. What can't become one is an error at once, as far as that shows.
    fn next(&mut self) -> Result<Option<BytesMut>, WatchError> {
        while let Some(&byte) = self.held.get(self.searched) {
            if self.depth == 0 && byte != b'{' {
                if !byte.is_ascii_whitespace() {
                    return Err(WatchError::BadLine("no list begins like this".to_owned()));
                }
                self.held.advance(1);
                continue;
            }
            self.searched += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = self.string,
                b'"' => self.string = !self.string,
                b'{' | b'[' if !self.string => self.depth += 1,
                b'}' | b']' if !self.string => self.depth -= 1,
                // An empty line within one: the next line that says something may be another's.
                b'\n' if self.after_empty_line() => self.check()?,
                _ => {}
            }
            if self.depth == 0 {
                let whole = self.held.split_to(std::mem::take(&mut self.searched));
                self.sound = 0;
                return Ok(Some(whole));
            }
        }
        if self.held.len() > LONGEST_LINE {
            return Err(WatchError::BadLine(format!("over {LONGEST_LINE} bytes")));
        }
        // Not each time: a long list may come a byte at a time.
        if self.held.len() > 2 * self.sound {
            self.check()?;
        }
        Ok(None)
    }

    fn after_empty_line(&self) -> bool {
        let before = &self.held[..self.searched - 1];
        before.iter().rfind(|b| !matches!(b, b' ' | b'\t' | b'\r')) == Some(&b'\n')
    }

    /// What has come of one has to be the beginning of some JSON.
    fn check(&mut self) -> Result<(), WatchError> {
        let begun = &self.held[..self.searched];
        // A number that is cut is no good number, and yet the beginning of one.
        let cut = begun
            .iter()
            .rposition(|byte| !b"+-.0123456789eE".contains(byte))
            .map_or(0, |at| at + 1);
        match serde_json::from_slice::<IgnoredAny>(&begun[..cut]) {
            Err(error) if !error.is_eof() => Err(WatchError::BadLine(error.to_string())),
            _ => {
                self.sound = begun.len();
                Ok(())
            }
        }
    }
}

impl EndpointList {
    /// Reads one list.
    pub fn parse(line: &[u8]) -> Result<Self, WatchError> {
        let list: EndpointList =
            serde_json::from_slice(line).map_err(|e| WatchError::BadLine(e.to_string()))?;
        match list
            .members
            .iter()
            .find(|m| m.host_port.is_none() && m.phase != EndpointPhase::Left)
        {
            Some(m) => Err(WatchError::BadLine(format!("{} has no host_port", m.id))),
            None => Ok(list),
        }
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
        let awaited = self.state.needs_snapshot() && list.complete;
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
        let list = EndpointList::parse(
            &body
                .map_err(|e| WatchError::BadLine(e.to_string()))?
                .to_bytes(),
        )?;
        if !list.complete {
            return Err(WatchError::BadLine("the list is not complete".to_owned()));
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

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;
