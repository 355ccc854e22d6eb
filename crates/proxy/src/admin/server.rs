//! The HTTP server for operators' commands. It has its own listener and its own connections, so
//! that clients cannot use up what operators need.

use super::commands::{AdminCommand, AdminReply};
use super::operator_control::OperatorControl;
use crate::downstream::accept::handle_accept_error;
use crate::downstream::lingering_close::{discard_input, MAX_LINGER_BYTES};
use crate::event_log::EventLog;
use crate::http1::error::MessageError;
use crate::http1::framing::parse_request_head;
use crate::http1::limits::MAX_HEAD_BYTES;
use crate::requests::dispatcher::Dispatcher;
use crate::socket::Socket;
use bytes::BytesMut;
use socket2::SockRef;
use std::collections::VecDeque;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// Largest number of connections at a time. Accepting a further one closes the oldest.
const MAX_CONNECTIONS: usize = 16;
/// Largest number of descriptors that the server holds: those of the connections, of the listener
/// and of one connection that is being accepted.
pub const DESCRIPTORS: usize = MAX_CONNECTIONS + 2;
/// Limit on the time to receive a request's complete head.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on the time to write the response and to read what the operator's client still sends after
/// the request's head.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest number of bytes of a request's method and path that are logged.
const MAX_LOGGED_BYTES: usize = 128;
/// Initial capacity in bytes of the buffer for a request's head.
const HEAD_BUFFER_BYTES: usize = 1 << 10;

/// Accepts operators' connections and serves one command on each.
pub struct AdminServer {
    log: EventLog,
    dispatcher: Rc<Dispatcher>,
    control: Rc<OperatorControl>,
}

/// The method and path in the first line of a request's head.
struct RequestLine {
    method: String,
    path: String,
}

impl AdminServer {
    /// Creates a server that executes commands by `control`. `dispatcher` logs and counts failed
    /// accepts.
    pub fn new(
        log: EventLog,
        dispatcher: Rc<Dispatcher>,
        control: Rc<OperatorControl>,
    ) -> Rc<Self> {
        Rc::new(AdminServer {
            log,
            dispatcher,
            control,
        })
    }

    /// Accepts connections on `listener` and serves each in its own task. Never returns.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut connections: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    connections.retain(|connection| !connection.is_finished());
                    if connections.len() == MAX_CONNECTIONS {
                        if let Some(oldest) = connections.pop_front() {
                            oldest.abort();
                        }
                    }
                    let connection = spawn_local(self.clone().serve_connection(stream));
                    connections.push_back(connection.abort_handle());
                }
                Err(error) => handle_accept_error(&self.dispatcher, "admin accept", &error).await,
            }
        }
    }

    /// Serves the only request of a connection and closes the connection.
    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = Socket(stream);
        // A client that disconnects, or sends no complete head in time, receives no response.
        let Ok(Some(request)) = timeout(REQUEST_TIMEOUT, read_request(&mut stream)).await else {
            return;
        };
        let reply = self.handle(request).await;
        let _ = timeout(CLOSE_TIMEOUT, respond(stream, reply)).await;
    }

    /// Executes the command of a request, and logs the request with the reply.
    async fn handle(&self, request: Result<RequestLine, MessageError>) -> AdminReply {
        let (call, reply) = match request {
            Ok(RequestLine { method, path }) => {
                let reply = match AdminCommand::parse(&method, &path) {
                    Ok(command) => self.control.execute(command).await,
                    Err(reply) => reply,
                };
                (format!("{method} {path}"), reply)
            }
            Err(error) => ("unreadable".to_owned(), AdminReply::MalformedRequest(error)),
        };
        let logged_call = call.as_bytes()[..call.len().min(MAX_LOGGED_BYTES)].escape_ascii();
        self.log.log(format_args!(
            "admin call=\"{logged_call}\" status={} {reply}",
            reply.status().as_u16()
        ));
        reply
    }
}

/// Writes the response and shuts down the sending side. Discards what still arrives, since closing
/// the socket with unread bytes would reset the connection, and the client might lose the response.
///
/// # Errors
///
/// Returns the error of writing the response or of the shutdown.
async fn respond(mut stream: Socket, reply: AdminReply) -> std::io::Result<()> {
    stream.write_all(reply.to_http().as_bytes()).await?;
    SockRef::from(&stream.0).shutdown(Shutdown::Write)?;
    discard_input(&stream.0, MAX_LINGER_BYTES).await;
    Ok(())
}

/// Reads a request's head, and returns its method and path or why it is malformed. Returns `None`
/// if the connection ended before the head was complete.
async fn read_request(stream: &mut Socket) -> Option<Result<RequestLine, MessageError>> {
    let mut head = BytesMut::with_capacity(HEAD_BUFFER_BYTES);
    loop {
        let read_bytes = stream.read_buf(&mut head).await.ok()?;
        match parse_request_head(&head) {
            Err(error) => return Some(Err(error)),
            Ok(Some(_)) => return Some(Ok(parse_request_line(&head))),
            Ok(None) if read_bytes == 0 => return None,
            Ok(None) if head.len() >= MAX_HEAD_BYTES => {
                return Some(Err(MessageError::HeadTooLong));
            }
            Ok(None) => {}
        }
    }
}

/// Extracts the method and path from a head that was parsed as valid.
fn parse_request_line(head: &[u8]) -> RequestLine {
    let line = head
        .trim_ascii_start()
        .split(|byte| matches!(byte, b'\r' | b'\n'))
        .next()
        .unwrap_or_default();
    let mut parts = line
        .split(|&byte| byte == b' ')
        .map(|part| String::from_utf8_lossy(part).into_owned());
    RequestLine {
        method: parts.next().unwrap_or_default(),
        path: parts.next().unwrap_or_default(),
    }
}
