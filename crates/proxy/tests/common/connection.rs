//! HTTP messages and connections that a test reads and writes byte by byte.

use super::spawn_lock::CloseGuarded;
use super::within;
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// A received HTTP message.
#[derive(Debug)]
pub struct Message {
    /// Request or status line.
    pub start: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|h| h.0.eq_ignore_ascii_case(name))
            .map(|h| h.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("a status line")
    }
}

/// A TCP connection, accepted or made by the test.
pub struct Connection(CloseGuarded<BufReader<TcpStream>>);

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        Connection(CloseGuarded(Some(BufReader::new(stream))))
    }

    pub async fn connect(address: SocketAddr) -> Self {
        Connection::new(
            within("a connection", TcpStream::connect(address))
                .await
                .expect("a connection"),
        )
    }

    /// Closes the connection and waits until the peer has closed it as well.
    pub async fn close(mut self) {
        self.0.get_mut().shutdown().await.expect("the closing");
        self.expect_closed().await;
    }

    /// Resets the connection.
    pub fn reset(self) {
        self.0
            .get_ref()
            .set_zero_linger()
            .expect("a socket to reset");
    }

    /// Whether the peer has closed the connection by now; does not wait.
    pub fn is_closed(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = SockRef::from(self.0.get_ref()).peek(&mut byte);
        !peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }

    pub async fn write(&mut self, text: &str) {
        self.0
            .get_mut()
            .write_all(text.as_bytes())
            .await
            .expect("writing");
    }

    /// The next message; `None` if the connection ends first.
    pub async fn read(&mut self) -> Option<Message> {
        within("a message", self.read_message()).await
    }

    /// Reads the next message and asserts that it is a response with this status.
    pub async fn expect_status(&mut self, status: u16) {
        let response = self.read().await.expect("a response");
        assert_eq!(response.status(), status, "{}", response.start);
    }

    async fn read_message(&mut self) -> Option<Message> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if !matches!(self.0.read_line(&mut line).await, Ok(n) if n > 0) {
                return None;
            }
            match line.trim_end() {
                "" => break,
                line => lines.push(line.to_owned()),
            }
        }
        let start = lines.remove(0);
        let split = |l: String| {
            l.split_once(':')
                .map(|(n, v)| (n.to_owned(), v.trim().to_owned()))
        };
        let headers = lines.into_iter().filter_map(split).collect();
        let mut message = Message {
            start,
            headers,
            body: Vec::new(),
        };
        let length = message
            .header("content-length")
            .map_or(0, |l| l.parse().expect("a length"));
        message.body = vec![0; length];
        self.0.read_exact(&mut message.body).await.ok()?;
        Some(message)
    }

    /// The head of the next message and its body, decoded by its framing; no body if it ends early.
    pub async fn read_streamed(&mut self) -> (Message, Option<Vec<u8>>) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(within("a head", self.0.read_u8()).await.expect("a head"));
        }
        let head = String::from_utf8(head).expect("text");
        let mut lines = head.trim_end().lines().map(str::to_owned);
        let start = lines.next().expect("a first line");
        let headers = lines.filter_map(|l| {
            l.split_once(':')
                .map(|(n, v)| (n.to_owned(), v.trim().to_owned()))
        });
        let message = Message {
            start,
            headers: headers.collect(),
            body: Vec::new(),
        };
        let body = match message
            .header("content-length")
            .map(|l| l.parse().expect("a length"))
        {
            Some(length) => self.read_bytes(length).await,
            None => self.read_chunks().await,
        };
        (message, body)
    }

    async fn read_chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            within("a chunk", self.0.read_line(&mut line)).await.ok()?;
            let size = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
            body.extend(self.read_bytes(size).await?);
            self.read_bytes(2).await?;
            if size == 0 {
                return Some(body);
            }
        }
    }

    /// Exactly this many bytes; `None` if the connection ends first.
    pub async fn read_bytes(&mut self, count: usize) -> Option<Vec<u8>> {
        let mut bytes = vec![0; count];
        within("bytes", self.0.read_exact(&mut bytes))
            .await
            .ok()
            .map(|_| bytes)
    }

    /// Waits for the peer to close, without sending anything more.
    pub async fn expect_closed(&mut self) {
        let mut rest = Vec::new();
        let _ = within("the connection's end", self.0.read_to_end(&mut rest)).await;
        assert!(
            rest.is_empty(),
            "closed only after {:?}",
            String::from_utf8_lossy(&rest)
        );
    }

    /// Writes as much as the peer reads before it closes.
    pub async fn write_until_closed(&mut self, text: &str) {
        let _ = within("writing", self.0.get_mut().write_all(text.as_bytes())).await;
    }

    /// Waits for the peer to close, and returns whether it did so without reading all that was sent.
    pub async fn closed_over_unread_bytes(&mut self) -> bool {
        let mut rest = Vec::new();
        let ended = within("the connection's end", self.0.read_to_end(&mut rest)).await;
        assert!(
            rest.is_empty(),
            "ended only after {:?}",
            String::from_utf8_lossy(&rest)
        );
        // A close over unread bytes resets the connection, which may show a moment after its end.
        let reset = ended.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset);
        reset
            || within(
                "the reset",
                self.0.get_ref().ready(tokio::io::Interest::ERROR),
            )
            .await
            .is_ok_and(tokio::io::Ready::is_error)
    }

    /// Waits for the peer to close, whatever it still sends.
    pub async fn drain_until_closed(&mut self) {
        let mut rest = Vec::new();
        let _ = within("the connection's end", self.0.read_to_end(&mut rest)).await;
    }

    /// Writes a response with further header lines, each terminated, and a body.
    pub async fn respond(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        self.write(&format!(
            "HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        ))
        .await;
    }

    /// Sends a request of a class and returns its response.
    pub async fn request(&mut self, class: &str) -> Option<Message> {
        self.send(class, "20000m").await;
        self.read().await
    }

    pub async fn send(&mut self, class: &str, wait: &str) {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        self.send_with_id(
            &format!("r{}", NEXT.fetch_add(1, Ordering::Relaxed)),
            class,
            wait,
        )
        .await;
    }

    /// Sends a non-idempotent request with a body.
    pub async fn send_with_body(&mut self, id: &str, body: &str) {
        let length = format!("Content-Length: {}\r\n\r\n{body}", body.len());
        self.begin_unsafe(id, &length).await;
    }

    /// The same with a chunked body.
    pub async fn send_chunked(&mut self, id: &str) {
        self.begin_unsafe(
            id,
            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        )
        .await;
    }

    async fn begin_unsafe(&mut self, id: &str, rest: &str) {
        let head = format!(
            "POST /unsafe HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: 60000m\r\n"
        );
        self.write(&format!("{head}X-Tenant-Id: one\r\n{rest}"))
            .await;
    }

    /// Half-closes the connection and waits for the peer to close.
    pub async fn half_close(&mut self) {
        self.0.get_mut().shutdown().await.expect("the closing");
        self.drain_until_closed().await;
    }

    pub async fn send_with_id(&mut self, id: &str, class: &str, wait: &str) {
        let method = if class == "safe" { "GET" } else { "POST" };
        let key = if class == "keyed" {
            "Idempotency-Key: k\r\n"
        } else {
            ""
        };
        let head = format!(
            "{method} /{class} HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: {wait}\r\n"
        );
        self.write(&format!(
            "{head}X-Tenant-Id: one\r\nX-Cost: 90000\r\n{key}Content-Length: 0\r\n\r\n"
        ))
        .await;
    }
}
