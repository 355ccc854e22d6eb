//! A minimal HTTP/1.1 implementation for the clients, backends and discovery of the soak test.
//! Bodies are delimited by `Content-Length` only.

use std::io;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::sleep_until;

/// Largest number of received bytes that a connection buffers, and so the largest message.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The empty line that ends a message's head, with the line end before it.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A received request or response.
pub struct Message {
    /// Request line or status line, without its line end.
    pub start_line: String,
    headers: Vec<Header>,
    /// Body, as long as `Content-Length` says; empty without that header.
    pub body: Vec<u8>,
    /// When the reader first had a byte of the message.
    pub first_byte_at: Instant,
}

/// One header field of a message.
struct Header {
    name: String,
    value: String,
}

impl Message {
    /// Parses a head into a message with an empty body. Lines without a colon are ignored.
    fn from_head(head: &str, first_byte_at: Instant) -> Self {
        let mut lines = head.trim_end().lines();
        let start_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(Header::parse).collect();
        Message {
            start_line,
            headers,
            body: Vec::new(),
            first_byte_at,
        }
    }

    /// Returns the value of the first header with this name, which is matched without regard to
    /// case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_str())
    }

    /// Returns the status code of a response; `None` if its status line has no number in second
    /// place.
    pub fn status(&self) -> Option<u16> {
        self.start_line.split(' ').nth(1)?.parse().ok()
    }

    /// Returns the length of the body in bytes: 0 without a valid `Content-Length`.
    fn content_length(&self) -> usize {
        self.header("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0)
    }
}

impl Header {
    /// Parses a header line; `None` if it has no colon.
    fn parse(line: &str) -> Option<Self> {
        let (name, value) = line.split_once(':')?;
        Some(Header {
            name: name.to_owned(),
            value: value.trim().to_owned(),
        })
    }
}

/// How a connection ended before a message was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The peer closed it, after this many bytes of an incomplete message.
    Closed(usize),
    /// It was reset or failed otherwise, or the message was too large.
    Reset,
}

/// How slowly a connection is read at first.
pub struct ReadPace {
    bytes_per_second: usize,
    /// When the connection is read at full speed again.
    ends_at: tokio::time::Instant,
    /// When the next bytes are read.
    next_read_at: tokio::time::Instant,
}

impl ReadPace {
    /// Number of reads in a second.
    const READS_PER_SECOND: usize = 20;

    /// Reads at most this many bytes in a second, for `duration` from now on.
    pub fn new(bytes_per_second: usize, duration: Duration) -> Self {
        let now = tokio::time::Instant::now();
        ReadPace {
            bytes_per_second,
            ends_at: now + duration,
            next_read_at: now,
        }
    }

    /// Waits until bytes may be read, and returns how many; `None` for any number.
    async fn wait(&self) -> Option<usize> {
        sleep_until(self.next_read_at.min(self.ends_at)).await;
        let is_slow = tokio::time::Instant::now() < self.ends_at;
        is_slow.then_some(self.bytes_per_second / Self::READS_PER_SECOND)
    }

    /// Delays the next read by the time that `length` bytes take.
    fn count(&mut self, length: usize) {
        self.next_read_at += Duration::from_secs_f64(length as f64 / self.bytes_per_second as f64);
    }
}

/// A TCP connection from which HTTP messages are read one by one.
pub struct Connection {
    /// The socket, shared with those who check whether it is still open.
    pub socket: Rc<TcpStream>,
    /// Bytes that were received but not yet returned as part of a message.
    received: Vec<u8>,
    /// How slowly it is read; `None` for full speed.
    pace: Option<ReadPace>,
}

impl Connection {
    /// Wraps a socket from which nothing was read yet, and disables Nagle's algorithm on it.
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Connection {
            socket: Rc::new(socket),
            received: Vec::new(),
            pace: None,
        }
    }

    /// Reads at this pace from now on.
    pub fn read_slowly(&mut self, pace: ReadPace) {
        self.pace = Some(pace);
    }

    /// Returns the number of bytes received of a message that is not complete.
    pub fn incomplete_bytes(&self) -> usize {
        self.received.len()
    }

    /// Writes all of these bytes, waiting while the socket's send buffer is full.
    ///
    /// # Errors
    ///
    /// The connection is closed or reset.
    pub async fn write(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.socket.writable().await?;
            match self.socket.try_write(bytes) {
                Ok(written) => bytes = &bytes[written..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Waits for more bytes and adds them to `received`.
    async fn receive_more(&mut self) -> Result<(), ConnectionEnd> {
        loop {
            let max_bytes = match &self.pace {
                Some(pace) => pace.wait().await,
                None => None,
            };
            self.socket
                .readable()
                .await
                .map_err(|_| ConnectionEnd::Reset)?;
            match self.try_receive(max_bytes) {
                Ok(0) => return Err(ConnectionEnd::Closed(self.received.len())),
                Ok(_) if self.received.len() > MAX_MESSAGE_BYTES => {
                    return Err(ConnectionEnd::Reset)
                }
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Err(ConnectionEnd::Reset),
            }
        }
    }

    /// Adds bytes that are there to `received`, at most `max_bytes` if that is given, and returns how
    /// many.
    fn try_receive(&mut self, max_bytes: Option<usize>) -> io::Result<usize> {
        let Some(max_bytes) = max_bytes else {
            return self.socket.try_read_buf(&mut self.received);
        };
        let mut part = vec![0; max_bytes];
        let length = self.socket.try_read(&mut part)?;
        self.received.extend_from_slice(&part[..length]);
        if let Some(pace) = &mut self.pace {
            pace.count(length);
        }
        Ok(length)
    }

    /// Reads the next message.
    ///
    /// # Errors
    ///
    /// The connection ended before the message was complete, or the message is too large.
    ///
    /// # Cancellation
    ///
    /// Bytes that were received are kept for the next call.
    pub async fn read(&mut self) -> Result<Message, ConnectionEnd> {
        if self.received.is_empty() {
            self.receive_more().await?;
        }
        let first_byte_at = Instant::now();
        let head_length = self.receive_head().await?;
        let head = String::from_utf8_lossy(&self.received[..head_length]);
        let mut message = Message::from_head(&head, first_byte_at);
        let length = head_length + message.content_length();
        while self.received.len() < length {
            self.receive_more().await?;
        }
        message.body = self.received[head_length..length].to_vec();
        self.received.drain(..length);
        Ok(message)
    }

    /// Receives until `received` holds a complete head. Returns the head's length, in bytes.
    async fn receive_head(&mut self) -> Result<usize, ConnectionEnd> {
        loop {
            let end = self
                .received
                .windows(HEAD_END.len())
                .position(|bytes| bytes == HEAD_END);
            match end {
                Some(end) => return Ok(end + HEAD_END.len()),
                None => self.receive_more().await?,
            }
        }
    }

    /// Whether the peer has neither closed nor reset the connection, as far as the operating system
    /// has reported. A closed connection counts as open while bytes from it are unread.
    pub fn is_open(socket: &TcpStream) -> bool {
        match socket.try_io(Interest::READABLE, || peek(socket)) {
            Ok(read) => read > 0,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }

    /// Makes the connection end with a reset (RST) once its socket is closed.
    pub fn reset_on_close(&self) {
        let _ = self.socket.set_zero_linger();
    }
}

/// Receives one byte without consuming it, and returns how many there were: 0 at the end of the
/// stream. Asks the operating system directly, whatever readiness the runtime has recorded.
fn peek(socket: &TcpStream) -> io::Result<usize> {
    let mut byte = [0u8];
    // SAFETY: The descriptor belongs to the socket, which stays borrowed, and the given length is
    // that of the buffer.
    #[expect(unsafe_code, reason = "no safe interface peeks without the runtime")]
    let read = unsafe {
        libc::recv(
            socket.as_raw_fd(),
            byte.as_mut_ptr().cast(),
            byte.len(),
            libc::MSG_PEEK | libc::MSG_DONTWAIT,
        )
    };
    usize::try_from(read).map_err(|_| io::Error::last_os_error())
}
