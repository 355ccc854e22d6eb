//! Listeners that stand in for backends and for discovery.

use super::connection::{Connection, Message};
use super::spawn_lock::CloseGuarded;
use super::within;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// A loopback address of this test's own, with port 0. Ports are soon reused: on a shared address a
/// connection to a stopped listener could reach another test's.
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
    pub async fn new() -> Self {
        ScriptedServer::at(unique_address()).await
    }

    /// Listens on a given address.
    pub async fn at(address: SocketAddr) -> Self {
        ScriptedServer(CloseGuarded(Some(
            TcpListener::bind(address).await.expect("a port"),
        )))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    pub async fn accept(&self) -> Connection {
        within("a connection to be accepted", self.accept_when_it_comes()).await
    }

    /// The same, however long it takes.
    pub async fn accept_when_it_comes(&self) -> Connection {
        let accepted = self.0.accept().await;
        Connection::new(accepted.expect("a connection").0)
    }

    /// A new connection and the first request on it.
    pub async fn accept_request(&self) -> (Connection, Message) {
        let mut connection = self.accept().await;
        let request = connection.read().await.expect("a request");
        (connection, request)
    }

    /// Whether no connection arrives for a moment.
    pub async fn is_untouched(&self) -> bool {
        tokio::time::timeout(Duration::from_millis(50), self.0.accept())
            .await
            .is_err()
    }

    /// Accepts a discovery watch and starts its response; returns the request line too.
    pub async fn accept_watch(&self) -> (WatchStream, String) {
        let (mut connection, request) = self.accept_request().await;
        connection
            .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await;
        (WatchStream(connection), request.start)
    }
}

/// A listener whose accept queue is full: a further connection waits for the kernel's SYN retry.
pub async fn full_listener() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(unique_address()).expect("a port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let patience = Duration::from_millis(300);
    let mut filling = Vec::new();
    while let Ok(stream) = tokio::time::timeout(patience, TcpStream::connect(address)).await {
        filling.push(stream.expect("a connection"));
    }
    (listener, address, filling)
}

/// An open watch.
pub struct WatchStream(pub Connection);

impl WatchStream {
    pub async fn send_line(&mut self, line: &str) {
        self.0
            .write(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1))
            .await;
    }

    /// Sends a list; [`ProxyProcess::wait_for_revision`](super::ProxyProcess::wait_for_revision)
    /// waits until it is applied.
    pub async fn send_list(&mut self, revision: u64, complete: bool, members: &[Value]) {
        let list = json!({"revision": revision, "complete": complete, "members": members});
        self.send_line(&list.to_string()).await;
    }
}
