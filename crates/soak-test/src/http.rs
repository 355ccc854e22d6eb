//! As much HTTP/1.1 as clients, backends and discovery of the soak test need.

use std::io;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::Instant;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Largest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Ends a message's head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A message as it was received.
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    headers: Vec<Header>,
    /// As much as its `Content-Length` covers.
    pub body: Vec<u8>,
    /// When its first byte was seen.
    pub first_byte: Instant,
}

struct Header {
    name: String,
    value: String,
}

impl Message {
    /// A message without its body.
    fn from_head(head: &str, first_byte: Instant) -> Self {
        let mut lines = head.trim_end().lines();
        let start_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(Header::parse).collect();
        Message {
            start_line,
            headers,
            body: Vec::new(),
            first_byte,
        }
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_str())
    }

    /// The status code of a response.
    pub fn status(&self) -> Option<u16> {
        self.start_line.split(' ').nth(1)?.parse().ok()
    }

    fn content_length(&self) -> usize {
        self.header("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0)
    }
}

impl Header {
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
    /// The peer closed it, after this many bytes of a message.
    Closed(usize),
    /// It was reset.
    Reset,
}

/// A connection that is read message by message.
pub struct Connection {
    /// The socket, shared with whoever has to know whether it is still open.
    pub socket: Rc<TcpStream>,
    /// Bytes that were received and belong to no message yet.
    received: Vec<u8>,
}

impl Connection {
    /// A connection on a socket from which nothing was read.
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Connection {
            socket: Rc::new(socket),
            received: Vec::new(),
        }
    }

    /// Bytes received of a message that is not complete.
    pub fn incomplete_bytes(&self) -> usize {
        self.received.len()
    }

    /// Writes all of these bytes.
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

    /// Receives some more bytes.
    async fn fill(&mut self) -> Result<(), ConnectionEnd> {
        loop {
            self.socket
                .readable()
                .await
                .map_err(|_| ConnectionEnd::Reset)?;
            match self.socket.try_read_buf(&mut self.received) {
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

    /// Reads the next message.
    ///
    /// # Errors
    ///
    /// The connection ended before the message was complete.
    ///
    /// # Cancellation
    ///
    /// Bytes that were received stay for the next call.
    pub async fn read(&mut self) -> Result<Message, ConnectionEnd> {
        if self.received.is_empty() {
            self.fill().await?;
        }
        let first_byte = Instant::now();
        let head_length = self.read_head().await?;
        let head = String::from_utf8_lossy(&self.received[..head_length]);
        let mut message = Message::from_head(&head, first_byte);
        let length = head_length + message.content_length();
        while self.received.len() < length {
            self.fill().await?;
        }
        message.body = self.received[head_length..length].to_vec();
        self.received.drain(..length);
        Ok(message)
    }

    /// Receives until a head is complete. Returns its length, in bytes.
    async fn read_head(&mut self) -> Result<usize, ConnectionEnd> {
        loop {
            let end = self
                .received
                .windows(HEAD_END.len())
                .position(|bytes| bytes == HEAD_END);
            match end {
                Some(end) => return Ok(end + HEAD_END.len()),
                None => self.fill().await?,
            }
        }
    }

    /// Whether the peer has neither closed nor reset it, as the system knows.
    pub fn is_open(socket: &TcpStream) -> bool {
        match socket.try_io(Interest::READABLE, || peek(socket)) {
            Ok(read) => read > 0,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }

    /// Lets its end be a reset.
    pub fn reset(&self) {
        let _ = self.socket.set_zero_linger();
    }
}

/// Looks at the next byte and leaves it. Asks the system, whatever the runtime knows.
fn peek(socket: &TcpStream) -> io::Result<usize> {
    let mut byte = [0u8];
    // SAFETY: The descriptor is the socket's, which is borrowed, and the buffer is one byte long.
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
