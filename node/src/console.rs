//! The operators' side: a listener of its own, with places of its own, and the calls that it takes.

use crate::engine::Engine;
use crate::frontend::{discard, Phase, ACCEPT_PAUSE};
use crate::gate::{self, Problem};
use bytes::BytesMut;
use hyper::StatusCode;
use socket2::SockRef;
use std::collections::VecDeque;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// Calls at a time. Who comes beyond them takes the place of the one that has come first.
const PLACES: usize = 16;
/// Descriptors for all that.
pub const SOCKETS: usize = PLACES + 2;
/// For a call to come whole: operators wait for less.
const WHOLE: Duration = Duration::from_secs(2);
/// For what a caller still sends behind its call.
const LINGER: Duration = Duration::from_millis(300);
/// Of a call, what goes to the log at most.
const LOGGED: usize = 128;

/// See the module's own words.
pub struct Console {
    engine: Rc<Engine>,
    phase: Rc<watch::Sender<Phase>>,
}

/// What a call is answered with.
type Word = (StatusCode, &'static str);

impl Console {
    /// For this node.
    pub fn new(engine: Rc<Engine>, phase: Rc<watch::Sender<Phase>>) -> Rc<Self> {
        Rc::new(Console { engine, phase })
    }

    /// Takes calls for good.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    callers.retain(|c| !c.is_finished());
                    if callers.len() == PLACES {
                        callers.pop_front().iter().for_each(AbortHandle::abort);
                    }
                    callers.push_back(spawn_local(self.clone().call(stream)).abort_handle());
                }
                Err(error) => {
                    self.engine.log(format_args!("console accept: {error}"));
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// One call on one connection.
    async fn call(self: Rc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let call = timeout(WHOLE, read_call(&mut stream)).await;
        let (call, (status, text)) = match call {
            Ok(Some(Ok((method, path)))) => {
                let word = self.carry_out(&method, &path);
                (format!("{method} {path}"), word)
            }
            Ok(Some(Err(problem))) => ("unreadable".to_owned(), problem),
            // It left, or finished no call.
            Ok(None) | Err(_) => return,
        };
        let shown = call.as_bytes()[..call.len().min(LOGGED)].escape_ascii();
        self.engine.log(format_args!("console call=\"{shown}\" status={} {text}", status.as_u16()));
        let allow = if status == StatusCode::METHOD_NOT_ALLOWED { "Allow: GET, POST\r\n" } else { "" };
        let answer = format!(
            "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\n{allow}Content-Length: {}\r\nConnection: close\r\n\r\n{text}\n",
            text.len() + 1
        );
        // Closing on unread bytes would reset the connection, and might take the answer from the caller.
        let ending = async {
            stream.write_all(answer.as_bytes()).await?;
            SockRef::from(&stream).shutdown(Shutdown::Write)?;
            discard(&stream).await;
            Ok::<_, std::io::Error>(())
        };
        let _ = timeout(LINGER, ending).await;
    }

    /// Does what a call asks for. Once it is answered that is in force.
    fn carry_out(&self, method: &str, path: &str) -> Word {
        let on = |from: Phase, to: Phase| {
            self.phase.send_if_modified(|phase| {
                let turns = *phase == from;
                *phase = if turns { to } else { *phase };
                turns
            });
            *self.phase.borrow()
        };
        let backend = path.strip_prefix("/backends/").and_then(|rest| rest.rsplit_once('/'));
        match (method, path, backend) {
            ("GET", "/healthcheck", _) => match *self.phase.borrow() {
                Phase::Leaving | Phase::Closing => (StatusCode::SERVICE_UNAVAILABLE, "leaving"),
                _ if !self.engine.ready() => (StatusCode::SERVICE_UNAVAILABLE, "no list of backends"),
                Phase::Draining => (StatusCode::OK, "ready, draining"),
                Phase::Serving => (StatusCode::OK, "ready"),
            },
            ("POST", "/healthcheck/fail", _) => {
                on(Phase::Serving, Phase::Draining);
                (StatusCode::OK, "draining")
            }
            ("POST", "/healthcheck/ok", _) => match on(Phase::Draining, Phase::Serving) {
                Phase::Serving => (StatusCode::OK, "serving"),
                _ => (StatusCode::CONFLICT, "the process is leaving"),
            },
            ("POST", _, Some((id, "maint"))) if self.engine.take_out(id) => (StatusCode::OK, "left out"),
            ("POST", _, Some((id, "ready"))) if self.engine.call_back(id) => (StatusCode::OK, "in use"),
            ("POST", _, Some((_, "maint" | "ready"))) => (StatusCode::NOT_FOUND, "unknown backend"),
            (_, "/healthcheck" | "/healthcheck/fail" | "/healthcheck/ok", _)
            | (_, _, Some((_, "maint" | "ready"))) => (StatusCode::METHOD_NOT_ALLOWED, "another method"),
            _ => (StatusCode::NOT_FOUND, "unknown call"),
        }
    }
}

/// Reads a call's method and path, or what is wrong with it. None: nothing came.
async fn read_call(stream: &mut TcpStream) -> Option<Result<(String, String), Problem>> {
    let mut held = BytesMut::with_capacity(1 << 10);
    loop {
        let read = stream.read_buf(&mut held).await.ok()?;
        match gate::request_head(&held) {
            Err(problem) => return Some(Err(problem)),
            Ok(Some(_)) => break,
            Ok(None) if read == 0 => return None,
            Ok(None) if held.len() >= gate::MOST_HEAD => {
                return Some(Err((StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long")));
            }
            Ok(None) => {}
        }
    }
    // It was read as the head of a request: both are there.
    let line = held.trim_ascii_start().split(|&b| b == b'\r' || b == b'\n').next().unwrap_or_default();
    let mut words = line.split(|&b| b == b' ').map(|word| String::from_utf8_lossy(word).into_owned());
    Some(Ok((words.next().unwrap_or_default(), words.next().unwrap_or_default())))
}
