//! Servers that stand in for backends and for discovery, scripted by the test.

use super::connection::{Connection, Message};
use super::spawn_lock::CloseGuarded;
use super::within;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Returns a loopback address that no other test uses, with port 0. The system reuses ports soon:
/// on a shared address, a connection to a stopped listener could reach the listener of another
/// test.
pub fn unique_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    let octet = |n: u32| u8::try_from(n % 254 + 1).expect("at most 254");
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    ([127, octet(process / 254), octet(process), octet(last)], 0).into()
}

/// A backend or discovery service whose connections the test accepts and answers itself.
pub struct ScriptedServer(CloseGuarded<TcpListener>);

impl ScriptedServer {
    /// Listens on an address of its own.
    pub async fn new() -> Self {
        ScriptedServer::bind(unique_address()).await
    }

    /// Listens on a given address.
    pub async fn bind(address: SocketAddr) -> Self {
        ScriptedServer(CloseGuarded(Some(
            TcpListener::bind(address).await.expect("binding failed"),
        )))
    }

    /// Listens on an address of its own, with receive buffers of about this many bytes, or of the
    /// system's size.
    pub async fn with_receive_buffer(bytes: Option<u32>) -> Self {
        let Some(bytes) = bytes else {
            return ScriptedServer::new().await;
        };
        let socket = tokio::net::TcpSocket::new_v4().expect("creating a socket failed");
        socket
            .set_recv_buffer_size(bytes)
            .expect("setting the buffer size failed");
        socket.bind(unique_address()).expect("binding failed");
        let listener = socket.listen(1024).expect("listening failed");
        ScriptedServer(CloseGuarded(Some(listener)))
    }

    /// Returns the address and port that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("the local address")
    }

    /// Accepts the next connection.
    pub async fn accept(&self) -> Connection {
        within("an incoming connection", self.accept_without_timeout()).await
    }

    /// Accepts the next connection, without a timeout.
    pub async fn accept_without_timeout(&self) -> Connection {
        let accepted = self.0.accept().await;
        Connection::new(accepted.expect("accepting failed").0)
    }

    /// Accepts the next connection and reads the first request on it.
    pub async fn accept_request(&self) -> (Connection, Message) {
        let mut connection = self.accept().await;
        let request = connection.read().await.expect("a request");
        (connection, request)
    }

    /// Returns whether no connection arrives within 50 ms. One that arrives is accepted and
    /// dropped.
    pub async fn receives_no_connection(&self) -> bool {
        tokio::time::timeout(Duration::from_millis(50), self.0.accept())
            .await
            .is_err()
    }

    /// Accepts a discovery watch and sends the head of its response. Returns the watch and its
    /// request line.
    pub async fn accept_watch(&self) -> (WatchStream, String) {
        let (mut connection, request) = self.accept_request().await;
        connection
            .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await;
        (WatchStream(connection), request.start_line)
    }
}

/// Accepts the next connection at either of two backends. Returns it and the backend that did not
/// get it.
pub async fn accept_at_either<'a>(
    one: &'a ScriptedServer,
    two: &'a ScriptedServer,
) -> (Connection, &'a ScriptedServer) {
    tokio::select! {
        connection = one.accept() => (connection, two),
        connection = two.accept() => (connection, one),
    }
}

/// Does the same as [`accept_at_either`], and reads the first request on the connection.
pub async fn accept_request_at_either<'a>(
    one: &'a ScriptedServer,
    two: &'a ScriptedServer,
) -> ((Connection, Message), &'a ScriptedServer) {
    let (mut connection, other) = accept_at_either(one, two).await;
    let request = connection.read().await.expect("a request");
    ((connection, request), other)
}

/// A backend whose accept queue is full: a further connection is established only by the kernel's SYN
/// retry, after the queue has room.
pub struct FullListener {
    listener: TcpListener,
    address: SocketAddr,
    /// The connections that fill the queue, at the side of the clients.
    queued_connections: Vec<TcpStream>,
}

impl FullListener {
    /// Listens on an address of its own, and fills the accept queue.
    pub async fn new() -> Self {
        let socket = tokio::net::TcpSocket::new_v4().expect("creating a socket failed");
        socket.bind(unique_address()).expect("binding failed");
        let listener = socket.listen(1).expect("listening failed");
        let address = listener.local_addr().expect("the local address");
        let connect_timeout = Duration::from_millis(300);
        let mut queued_connections = Vec::new();
        while let Ok(stream) =
            tokio::time::timeout(connect_timeout, TcpStream::connect(address)).await
        {
            queued_connections.push(stream.expect("connecting failed"));
        }
        FullListener {
            listener,
            address,
            queued_connections,
        }
    }

    /// Returns the address and port that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts the connections that fill the queue, so that it has room for others.
    pub async fn make_room(&self) {
        for _ in 0..self.queued_connections.len() {
            self.accept().await;
        }
    }

    /// Accepts the next connection.
    pub async fn accept(&self) -> Connection {
        let (stream, _) = within("an incoming connection", self.listener.accept())
            .await
            .expect("accepting failed");
        Connection::new(stream)
    }
}

/// The discovery side of an open watch, on which the test sends endpoint lists.
pub struct WatchStream(pub Connection);

impl WatchStream {
    /// Sends one line as one chunk of the response.
    pub async fn send_line(&mut self, line: &str) {
        self.0
            .write(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1))
            .await;
    }

    /// Sends an endpoint list: a snapshot if it is `complete`, otherwise a delta. It does not wait
    /// until the list is applied;
    /// [`ProxyProcess::wait_for_revision`](super::ProxyProcess::wait_for_revision) does.
    pub async fn send_list(&mut self, revision: u64, complete: bool, members: &[Value]) {
        let list = json!({"revision": revision, "complete": complete, "members": members});
        self.send_line(&list.to_string()).await;
    }
}
