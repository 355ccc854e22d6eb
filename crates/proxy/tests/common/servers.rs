//! Listeners that stand in for backends and for discovery.

use super::connection::{CloseGuarded, Connection, Message};
use super::within;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// A loopback address for one use, with the port left to the system. A port is soon given out
/// again: on a shared address, what is meant for a server that has ended could reach another
/// test's.
pub fn unique_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    let octet = |n: u32| u8::try_from(n % 254 + 1).expect("at most 254");
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    ([127, octet(process / 254), octet(process), octet(last)], 0).into()
}

/// A listener that a test accepts from by hand.
pub struct ScriptedServer(CloseGuarded<TcpListener>);

impl ScriptedServer {
    pub async fn new() -> Self {
        ScriptedServer::at(unique_address()).await
    }

    /// The same at a given address.
    pub async fn at(address: SocketAddr) -> Self {
        ScriptedServer(CloseGuarded(Some(
            TcpListener::bind(address).await.expect("a port"),
        )))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    pub async fn accept(&self) -> Connection {
        let accepted = within("a connection to be accepted", self.0.accept()).await;
        Connection::new(accepted.expect("a connection").0)
    }

    /// A new connection and the first request on it.
    pub async fn accept_request(&self) -> (Connection, Message) {
        let mut wire = self.accept().await;
        let request = wire.read().await.expect("a request");
        (wire, request)
    }

    /// Whether a connection waits to be accepted.
    pub async fn is_untouched(&self) -> bool {
        tokio::time::timeout(Duration::from_millis(50), self.0.accept())
            .await
            .is_err()
    }

    /// For discovery: takes in a watch and begins its answer.
    pub async fn accept_watch(&self) -> (WatchStream, String) {
        let (mut wire, request) = self.accept_request().await;
        wire.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await;
        (WatchStream(wire), request.start)
    }
}

/// A listener whose queue of connections is full, which lets a further one wait until the kernel
/// asks again.
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

    /// Sends a list; [`ProxyProcess::holds`] tells when it has been taken.
    pub async fn send_list(&mut self, revision: u64, complete: bool, members: &[Value]) {
        let list = json!({"revision": revision, "complete": complete, "members": members});
        self.send_line(&list.to_string()).await;
    }
}
