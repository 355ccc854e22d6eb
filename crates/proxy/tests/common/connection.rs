//! Connections on which a test reads and writes HTTP messages itself, malformed and partial ones
//! too.

use super::paced_stream::PacedStream;
use super::spawn_lock::CloseGuarded;
use super::within;
use socket2::SockRef;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};

/// A received HTTP request or response.
#[derive(Debug)]
pub struct Message {
    /// The request line or the status line.
    pub start_line: String,
    /// Names and values, in the order received.
    headers: Vec<(String, String)>,
    /// The body; empty where a method returns it separately.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first header of this name, in whatever case it was written.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|header| header.0.eq_ignore_ascii_case(name))
            .map(|header| header.1.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("the message should start with a status line")
    }
}

/// A TCP connection that the test has accepted or opened.
pub struct Connection(CloseGuarded<BufReader<PacedStream>>);

impl Connection {
    /// Wraps an established connection.
    pub fn new(stream: TcpStream) -> Self {
        Connection(CloseGuarded(Some(BufReader::new(PacedStream::new(stream)))))
    }

    /// Opens a connection to this address.
    pub async fn connect(address: SocketAddr) -> Self {
        Connection::new(
            within("an outgoing connection", TcpStream::connect(address))
                .await
                .expect("connecting failed"),
        )
    }

    /// Opens a connection whose receive buffer holds about this many bytes.
    pub async fn connect_with_receive_buffer(address: SocketAddr, bytes: u32) -> Self {
        let socket = TcpSocket::new_v4().expect("creating a socket failed");
        socket
            .set_recv_buffer_size(bytes)
            .expect("setting the buffer size failed");
        Connection::new(
            within("an outgoing connection", socket.connect(address))
                .await
                .expect("connecting failed"),
        )
    }

    /// Returns the socket, past everything that was read ahead.
    fn socket(&self) -> &TcpStream {
        self.0.get_ref().get_ref()
    }

    /// Reads at most this many bytes in a second from now on.
    pub fn set_read_rate(&mut self, bytes_per_second: usize) {
        self.0.get_mut().set_rate(bytes_per_second);
    }

    /// Returns how many bytes of the output the peer's system has not received.
    pub fn unacknowledged_bytes(&self) -> usize {
        let mut bytes: libc::c_int = 0;
        // SAFETY: The request writes one integer, to which the pointer leads.
        #[allow(unsafe_code)]
        let result =
            unsafe { libc::ioctl(self.socket().as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
        assert_eq!(result, 0, "the system does not tell the size of the queue");
        usize::try_from(bytes).expect("the size of a queue")
    }

    /// Closes the sending half, and waits until the peer has closed the connection without sending
    /// more.
    pub async fn close(mut self) {
        self.0.get_mut().shutdown().await.expect("closing failed");
        self.expect_closed().await;
    }

    /// Closes the connection by a TCP reset.
    pub fn reset(self) {
        self.socket()
            .set_zero_linger()
            .expect("setting the linger time failed");
    }

    /// Returns, without waiting, whether the peer has closed the connection by now. Unread bytes on
    /// the socket count as closed too.
    pub fn is_closed(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = SockRef::from(self.socket()).peek(&mut byte);
        !peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Writes bytes as they are; fails the test if the connection is closed.
    pub async fn write(&mut self, text: &str) {
        self.0
            .get_mut()
            .write_all(text.as_bytes())
            .await
            .expect("writing failed");
    }

    /// Reads the next message, whose body has a `Content-Length` or is empty; `None` if the
    /// connection ends first.
    pub async fn read(&mut self) -> Option<Message> {
        within("a message", self.read_message()).await
    }

    /// Reads the next message and asserts that it is a response with this status.
    pub async fn expect_status(&mut self, status: u16) {
        let response = self.read().await.expect("a response");
        assert_eq!(response.status(), status, "{}", response.start_line);
    }

    /// Does the same as [`Self::read`], without a timeout.
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
        let start_line = lines.remove(0);
        let parse_header = |line: String| {
            line.split_once(':')
                .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        };
        let headers = lines.into_iter().filter_map(parse_header).collect();
        let mut message = Message {
            start_line,
            headers,
            body: Vec::new(),
        };
        let length = message
            .header("content-length")
            .map_or(0, |length| length.parse().expect("a body length"));
        message.body = vec![0; length];
        self.0.read_exact(&mut message.body).await.ok()?;
        Some(message)
    }

    /// Reads the next message and decodes its body, by `Content-Length` or else as chunks without
    /// trailers. The body is returned beside the message; it is `None` if the connection ends
    /// before it is complete or if a chunk is malformed.
    pub async fn read_streamed(&mut self) -> (Message, Option<Vec<u8>>) {
        within("a message", self.read_streamed_message())
            .await
            .expect("the connection ended in a head")
    }

    /// Does the same as [`Self::read_streamed`], without a timeout; `None` if the connection ends in
    /// the head.
    async fn read_streamed_message(&mut self) -> Option<(Message, Option<Vec<u8>>)> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.0.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).expect("the head should be valid UTF-8");
        let mut lines = head.trim_end().lines().map(str::to_owned);
        let start_line = lines.next().expect("the head should not be empty");
        let headers = lines.filter_map(|line| {
            line.split_once(':')
                .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        });
        let message = Message {
            start_line,
            headers: headers.collect(),
            body: Vec::new(),
        };
        let body = match message
            .header("content-length")
            .map(|length| length.parse().expect("a body length"))
        {
            Some(length) => self.read_exactly(length).await,
            None => self.read_chunks().await,
        };
        Some((message, body))
    }

    /// Does the same as [`Self::read_streamed`] for a response that may take this long, and returns
    /// only the body.
    pub async fn read_body_within(&mut self, time: Duration) -> Option<Vec<u8>> {
        let reading = async { self.read_streamed_message().await?.1 };
        tokio::time::timeout(time, reading).await.ok().flatten()
    }

    /// Reads a chunked body to its last chunk and the empty line after it.
    async fn read_chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).await.ok()?;
            let size = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
            body.extend(self.read_exactly(size).await?);
            self.read_exactly(2).await?;
            if size == 0 {
                return Some(body);
            }
        }
    }

    /// Reads exactly this many bytes; `None` if the connection ends first.
    pub async fn read_bytes(&mut self, count: usize) -> Option<Vec<u8>> {
        within("more bytes", self.read_exactly(count)).await
    }

    /// Does the same as [`Self::read_bytes`], without a timeout.
    async fn read_exactly(&mut self, count: usize) -> Option<Vec<u8>> {
        let mut bytes = vec![0; count];
        self.0.read_exact(&mut bytes).await.ok().map(|_| bytes)
    }

    /// Waits for the peer to close, and asserts that it sends nothing more.
    pub async fn expect_closed(&mut self) {
        let mut rest = Vec::new();
        let _ = within("the close of the connection", self.0.read_to_end(&mut rest)).await;
        assert!(
            rest.is_empty(),
            "the peer sent {:?} before it closed",
            String::from_utf8_lossy(&rest)
        );
    }

    /// Writes as much of this text as the peer takes; it may close before the end.
    pub async fn write_until_closed(&mut self, text: &str) {
        let _ = within(
            "the end of the write",
            self.0.get_mut().write_all(text.as_bytes()),
        )
        .await;
    }

    /// Waits for the peer to close, asserts that it sends nothing more, and returns whether it
    /// closed with unread bytes.
    pub async fn closed_with_unread_bytes(&mut self) -> bool {
        let mut rest = Vec::new();
        let ended = within("the close of the connection", self.0.read_to_end(&mut rest)).await;
        assert!(
            rest.is_empty(),
            "the peer sent {:?} before it closed",
            String::from_utf8_lossy(&rest)
        );
        // A close with unread bytes resets the connection. The reset may be noticed a moment after
        // the end of the stream.
        let reset = ended.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset);
        reset
            || within(
                "the reset of the connection",
                self.socket().ready(tokio::io::Interest::ERROR),
            )
            .await
            .is_ok_and(tokio::io::Ready::is_error)
    }

    /// Waits for the peer to close, and returns how many bytes it still sends.
    pub async fn read_to_end(&mut self) -> usize {
        let mut rest = Vec::new();
        let _ = within("the close of the connection", self.0.read_to_end(&mut rest)).await;
        rest.len()
    }

    /// Waits for the peer to close, and discards what it still sends.
    pub async fn drain_until_closed(&mut self) {
        self.read_to_end().await;
    }

    /// Writes a response with a body. `headers` holds further header lines, each with its line end.
    pub async fn respond(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        self.write(&format!(
            "HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        ))
        .await;
    }

    /// Sends a request of a class with a timeout of 20 s, and returns its response; `None` if the
    /// connection ends first.
    pub async fn request(&mut self, class: &str) -> Option<Message> {
        self.send(class, "20000m").await;
        self.read().await
    }

    /// Sends a request without a body, with an id of its own. `timeout` is the value of its
    /// `X-Timeout`.
    pub async fn send(&mut self, class: &str, timeout: &str) {
        self.send_with_headers(class, timeout, "").await;
    }

    /// Does the same as [`Self::send`], with further header lines, each with its line end.
    pub async fn send_with_headers(&mut self, class: &str, timeout: &str, headers: &str) {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let id = format!("r{}", NEXT.fetch_add(1, Ordering::Relaxed));
        self.send_bodiless(&id, class, timeout, headers).await;
    }

    /// Sends a non-idempotent request with a body and a timeout of 60 s.
    pub async fn send_with_body(&mut self, id: &str, body: &str) {
        let headers_and_body = format!("Content-Length: {}\r\n\r\n{body}", body.len());
        self.send_non_idempotent(id, &headers_and_body).await;
    }

    /// Sends a non-idempotent request with a chunked body of 3 bytes and a timeout of 60 s.
    pub async fn send_chunked(&mut self, id: &str) {
        self.send_non_idempotent(
            id,
            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        )
        .await;
    }

    /// Sends a non-idempotent request that ends with `headers_and_body`: its framing header lines,
    /// the empty line and its body.
    async fn send_non_idempotent(&mut self, id: &str, headers_and_body: &str) {
        let head = format!(
            "POST /unsafe HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: 60000m\r\n"
        );
        self.write(&format!("{head}X-Tenant-Id: one\r\n{headers_and_body}"))
            .await;
    }

    /// Closes the sending half, and waits for the peer to close, whatever it still sends.
    pub async fn half_close(&mut self) {
        self.0.get_mut().shutdown().await.expect("closing failed");
        self.drain_until_closed().await;
    }

    /// Sends a request without a body: a GET if its class is `safe`, otherwise a POST, with an
    /// idempotency key if its class is `keyed`. `timeout` is the value of its `X-Timeout`.
    pub async fn send_with_id(&mut self, id: &str, class: &str, timeout: &str) {
        self.send_bodiless(id, class, timeout, "").await;
    }

    /// Does the same as [`Self::send_with_id`], with further header lines, each with its line end.
    async fn send_bodiless(&mut self, id: &str, class: &str, timeout: &str, headers: &str) {
        let method = if class == "safe" { "GET" } else { "POST" };
        let key = if class == "keyed" {
            "Idempotency-Key: k\r\n"
        } else {
            ""
        };
        let head = format!(
            "{method} /{class} HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: {timeout}\r\n"
        );
        self.write(&format!(
            "{head}X-Tenant-Id: one\r\nX-Cost: 90000\r\n{headers}{key}Content-Length: 0\r\n\r\n"
        ))
        .await;
    }
}
