//! As much HTTP/1.1 as clients, servers and discovery of the soak test need.

use std::io;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpStream;

/// Most that one message may hold.
const MOST: usize = 1 << 20;

/// A message as it came.
pub struct Message {
    /// Request or status line.
    pub start: String,
    headers: Vec<(String, String)>,
    /// What its `Content-Length` covers.
    pub body: Vec<u8>,
    /// When its first byte was seen.
    pub first: Instant,
    /// When its last byte was seen.
    pub last: Instant,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|header| header.0.eq_ignore_ascii_case(name))
            .map(|header| header.1.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> Option<u16> {
        self.start.split(' ').nth(1)?.parse().ok()
    }
}

/// How a connection ended that was to bring a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The other side closed it, with so many bytes of a message sent.
    Closed(usize),
    /// It was reset.
    Reset,
}

/// A connection that is read message by message.
pub struct Connection {
    /// The socket, for whoever has to know whether it is open still.
    pub socket: Rc<TcpStream>,
    held: Vec<u8>,
}

impl Connection {
    /// On a socket that nothing was read from.
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Connection {
            socket: Rc::new(socket),
            held: Vec::new(),
        }
    }

    /// Writes all of this.
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

    async fn fill(&mut self) -> Result<(), End> {
        loop {
            self.socket.readable().await.map_err(|_| End::Reset)?;
            match self.socket.try_read_buf(&mut self.held) {
                Ok(0) => return Err(End::Closed(self.held.len())),
                Ok(_) if self.held.len() > MOST => return Err(End::Reset),
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Err(End::Reset),
            }
        }
    }

    /// The next message.
    pub async fn read(&mut self) -> Result<Message, End> {
        if self.held.is_empty() {
            self.fill().await?;
        }
        let first = Instant::now();
        let length = loop {
            match self.held.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                Some(at) => break at + 4,
                None => self.fill().await?,
            }
        };
        let head = String::from_utf8_lossy(&self.held[..length]).into_owned();
        let mut lines = head.trim_end().lines();
        let start = lines.next().unwrap_or_default().to_owned();
        let split = |line: &str| {
            line.split_once(':')
                .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        };
        let headers = lines.filter_map(split).collect();
        let mut message = Message {
            start,
            headers,
            body: Vec::new(),
            first,
            last: first,
        };
        let body = message
            .header("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        while self.held.len() < length + body {
            self.fill().await?;
        }
        message.last = Instant::now();
        message.body = self.held[length..length + body].to_vec();
        self.held.drain(..length + body);
        Ok(message)
    }

    /// Whether the other side has neither closed nor reset it, asked of the system.
    pub fn is_open(socket: &TcpStream) -> bool {
        let mut byte = [0];
        match socket.try_io(tokio::io::Interest::READABLE, || peek(socket, &mut byte)) {
            Ok(read) => read > 0,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }

    /// Ends it by a reset.
    pub fn reset(&self) {
        let _ = self.socket.set_zero_linger();
    }
}

/// `recv` that leaves what it reads, asked of the system whatever the runtime knows.
fn peek(socket: &TcpStream, byte: &mut [u8; 1]) -> io::Result<usize> {
    use std::os::fd::AsRawFd;
    // SAFETY: The descriptor is the socket's, which is borrowed, and the buffer is one byte long.
    #[allow(unsafe_code)]
    let read = unsafe {
        libc::recv(
            socket.as_raw_fd(),
            byte.as_mut_ptr().cast(),
            1,
            libc::MSG_PEEK | libc::MSG_DONTWAIT,
        )
    };
    usize::try_from(read).map_err(|_| io::Error::last_os_error())
}
