//! The operators' side: a listener of its own, with places of its own, and the calls that it takes.

use crate::downstream::listener::{accept_failed, discard, MOST_LINGERING};
use crate::http1::error::MessageError;
use crate::http1::framing::parse_request_head;
use crate::http1::limits::MAX_HEAD_BYTES;
use crate::operator_state::store::{OperatorState, OperatorStateStore};
use crate::requests::dispatcher::Dispatcher;
use crate::shutdown::{ShutdownController, ShutdownPhase};
use crate::socket::Socket;
use bytes::BytesMut;
use hyper::StatusCode;
use socket2::SockRef;
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// Calls at a time. Who comes beyond them takes the place of the one that has come first.
const PLACES: usize = 16;
/// Descriptors for all that.
pub const DESCRIPTORS: usize = PLACES + 2;
/// For a call to come whole: operators wait for less.
const WHOLE: Duration = Duration::from_secs(2);
/// For what a caller still sends behind its call.
const LINGER: Duration = Duration::from_millis(300);
/// Of a call, what goes to the log at most.
const LOGGED: usize = 128;

/// See the module's own words.
pub struct AdminServer {
    engine: Rc<Dispatcher>,
    shutdown: Rc<ShutdownController>,
    keeper: Rc<OperatorStateStore>,
    warm_up: Duration,
    /// The latest look at what another process was told has failed.
    look_failed: Cell<bool>,
}

/// What a call is answered with.
type Reply = (StatusCode, &'static str);

impl AdminServer {
    /// For this node, which goes at once by what the keeper holds. Backends that were put back into
    /// use are warm after `warm_up`.
    pub fn new(
        engine: Rc<Dispatcher>,
        shutdown: Rc<ShutdownController>,
        keeper: Rc<OperatorStateStore>,
        warm_up: Duration,
    ) -> Rc<Self> {
        let console = Rc::new(AdminServer {
            engine,
            shutdown,
            keeper,
            warm_up,
            look_failed: Cell::new(false),
        });
        console.apply();
        console
    }

    /// Takes in what another process of this node was told, and forgets which backends were put
    /// back into use once they are warm: the next process could not tell for how long they have
    /// been.
    pub async fn refresh_operator_state(&self) {
        let warm = |name: &String| self.engine.warmed_up(name, self.warm_up);
        let settled = self
            .keeper
            .state()
            .returned_from_maintenance
            .keys()
            .any(warm);
        if settled && self.keeper.may_write() {
            let forget = |word: &mut OperatorState| {
                word.returned_from_maintenance.retain(|name, _| !warm(name))
            };
            if let Err(error) = self.keeper.change(forget).await {
                self.engine.log(format_args!("{error}"));
            }
        }
        let looked = self.keeper.refresh();
        let failed_before = self.look_failed.replace(looked.is_err());
        match looked {
            Ok(false) => {}
            Ok(true) => {
                self.apply();
                let word = self.keeper.state();
                self.engine.log(format_args!(
                    "told beside draining={} left_out={}",
                    word.draining,
                    word.in_maintenance.len()
                ));
            }
            Err(_) if failed_before => {} // It is logged once for a row of failures.
            Err(error) => self.engine.log(format_args!("{error}")),
        }
    }

    /// Puts the operators' word in force.
    fn apply(&self) {
        let word = self.keeper.state();
        self.engine.apply_operator_state(&word);
        self.shutdown.set_draining(word.draining);
    }

    /// Changes the operators' word, for every process of this node, and puts it in force.
    async fn say<T>(&self, change: impl FnOnce(&mut OperatorState) -> T) -> Result<T, Reply> {
        match self.keeper.change(change).await {
            Ok(said) => {
                self.apply();
                Ok(said)
            }
            Err(error) => {
                self.engine.log(format_args!("{error}"));
                Err((
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "it could not be kept: nothing has changed",
                ))
            }
        }
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
                Err(error) => accept_failed(&self.engine, "console accept", &error).await,
            }
        }
    }

    /// One call on one connection.
    async fn call(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = Socket(stream);
        let call = timeout(WHOLE, read_call(&mut stream)).await;
        let (call, (status, text)) = match call {
            Ok(Some(Ok((method, path)))) => {
                let reply = self.carry_out(&method, &path).await;
                let (status, text) = reply.unwrap_or_else(|no| no);
                (format!("{method} {path}"), (status, text.to_owned()))
            }
            Ok(Some(Err(error))) => ("unreadable".to_owned(), (error.status(), error.to_string())),
            // It left, or finished no call.
            Ok(None) | Err(_) => return,
        };
        let shown = call.as_bytes()[..call.len().min(LOGGED)].escape_ascii();
        self.engine.log(format_args!(
            "console call=\"{shown}\" status={} {text}",
            status.as_u16()
        ));
        let allow = if status == StatusCode::METHOD_NOT_ALLOWED {
            "Allow: GET, POST\r\n"
        } else {
            ""
        };
        let answer = format!(
            "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\n\
             {allow}Content-Length: {}\r\nConnection: close\r\n\r\n{text}\n",
            text.len() + 1
        );
        // Closing on unread bytes would reset the connection, and might take the answer from the
        // caller.
        let ending = async {
            stream.write_all(answer.as_bytes()).await?;
            SockRef::from(&stream.0).shutdown(Shutdown::Write)?;
            discard(&stream.0, MOST_LINGERING).await;
            Ok::<_, std::io::Error>(())
        };
        let _ = timeout(LINGER, ending).await;
    }

    /// Does what a call asks for. Once it is answered that is in force.
    async fn carry_out(&self, method: &str, path: &str) -> Result<Reply, Reply> {
        let backend = path
            .strip_prefix("/backends/")
            .and_then(|rest| rest.rsplit_once('/'));
        Ok(match (method, path, backend) {
            ("GET", "/healthcheck", _) => match self.shutdown.phase() {
                ShutdownPhase::Serving | ShutdownPhase::Draining if !self.engine.ready() => {
                    (StatusCode::SERVICE_UNAVAILABLE, "no list of backends")
                }
                ShutdownPhase::Serving => (StatusCode::OK, "ready"),
                ShutdownPhase::Draining => (StatusCode::OK, "ready, draining"),
                _ => (StatusCode::SERVICE_UNAVAILABLE, "leaving"),
            },
            ("POST", "/healthcheck/fail" | "/healthcheck/ok", _) => {
                if self.shutdown.phase() > ShutdownPhase::Draining {
                    return Err((StatusCode::CONFLICT, "the process is leaving"));
                }
                let draining = path == "/healthcheck/fail";
                self.say(|word| word.draining = draining).await?;
                (
                    StatusCode::OK,
                    if draining { "draining" } else { "serving" },
                )
            }
            ("POST", _, Some((id, "maint"))) => {
                let known = self.engine.knows(id);
                let out = |word: &mut OperatorState| {
                    let known = known || word.in_maintenance.contains(id);
                    known
                        .then(|| word.in_maintenance.insert(id.to_owned()))
                        .is_some()
                };
                known_backend(self.say(out).await?, "left out")
            }
            ("POST", _, Some((id, "ready"))) => {
                let known = self.engine.knows(id);
                let back = |word: &mut OperatorState| {
                    if word.in_maintenance.remove(id) {
                        word.mark_returned(id, SystemTime::now());
                        true
                    } else {
                        known
                    }
                };
                known_backend(self.say(back).await?, "in use")
            }
            (_, "/healthcheck" | "/healthcheck/fail" | "/healthcheck/ok", _)
            | (_, _, Some((_, "maint" | "ready"))) => {
                (StatusCode::METHOD_NOT_ALLOWED, "another method")
            }
            _ => (StatusCode::NOT_FOUND, "unknown call"),
        })
    }
}

fn known_backend(known: bool, done: &'static str) -> Reply {
    if known {
        (StatusCode::OK, done)
    } else {
        (StatusCode::NOT_FOUND, "unknown backend")
    }
}

/// Reads a call's method and path, or what is wrong with it. None: nothing came.
async fn read_call(stream: &mut Socket) -> Option<Result<(String, String), MessageError>> {
    let mut held = BytesMut::with_capacity(1 << 10);
    loop {
        let read = stream.read_buf(&mut held).await.ok()?;
        match parse_request_head(&held) {
            Err(error) => return Some(Err(error)),
            Ok(Some(_)) => break,
            Ok(None) if read == 0 => return None,
            Ok(None) if held.len() >= MAX_HEAD_BYTES => {
                return Some(Err(MessageError::HeadTooLong));
            }
            Ok(None) => {}
        }
    }
    // It was read as the head of a request: both are there.
    let line = held
        .trim_ascii_start()
        .split(|&b| b == b'\r' || b == b'\n')
        .next()
        .unwrap_or_default();
    let mut words = line
        .split(|&b| b == b' ')
        .map(|word| String::from_utf8_lossy(word).into_owned());
    Some(Ok((
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
    )))
}
