//! The filter between a socket and hyper: parses the head of each message itself, and passes
//! exactly that one message to hyper.
//!
//! Hyper drops a `Content-Length` beside a `Transfer-Encoding`, reads a response without a length
//! to the end of the connection, and buffers the bytes that follow a message before the proxy can
//! inspect them. The filter decides all of that on the raw bytes: what follows a message reaches
//! hyper only once it is expected, and an invalid head never does.

use crate::http1::error::MessageError;
use crate::http1::framing::{may_begin_request, Expected, Head};
use crate::http1::limits::{MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES};
use crate::socket::is_retryable;
use bytes::{Buf, BytesMut};
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Buffer space reserved for one read of a head or a small body.
const MIN_READ_BYTES: usize = 4 << 10;

/// Buffer space reserved for one read of a large body.
const MAX_READ_BYTES: usize = 16 << 10;

/// Largest number of bytes passed to hyper at once, unless it may enlarge its buffer. It does that when a
/// read fills the first 8 KiB, and keeps the buffer for as long as the connection is open.
const USUAL_PASS_BYTES: usize = (8 << 10) - 1;

/// Decides which messages a [`HeadFilter`] accepts, and observes them. Each side of the proxy has a
/// policy of its own: requests from clients, and responses from backends.
pub trait MessagePolicy {
    /// What is expected at first, and after each message.
    const BETWEEN_MESSAGES: Expected;

    /// Parses the head at the beginning of `bytes`; `None` if it is not complete yet.
    ///
    /// # Errors
    ///
    /// Returns why the message has to be rejected.
    fn parse_head(&self, bytes: &[u8]) -> Result<Option<Head>, MessageError>;

    /// Returns what hyper reads in place of a rejected message. The rest of the connection's input
    /// is ignored.
    ///
    /// # Errors
    ///
    /// Returns the error that ends the connection, if nothing is to be read instead.
    fn reject(&self, error: MessageError) -> io::Result<&'static [u8]>;

    /// Called when bytes of a head have been received, before each attempt to parse it until it is
    /// complete.
    ///
    /// # Errors
    ///
    /// Returns why the message has to be rejected, even if its head is not complete.
    fn head_bytes_received(&self) -> Result<(), MessageError> {
        Ok(())
    }

    /// Called immediately before bytes are written.
    ///
    /// Only the policy can know whether a message begins with them: the filter does not see the end
    /// of a chunked response, after which the next request is written.
    ///
    /// # Errors
    ///
    /// Returns the error that ends the connection before those bytes are written.
    fn may_write(&self) -> io::Result<()> {
        Ok(())
    }

    /// Whether hyper may enlarge its read buffer for a large message. It may not by default.
    fn may_enlarge_buffer(&self) -> bool {
        false
    }

    /// Called when these bytes of a body have been received.
    fn body_bytes_received(&self, bytes: &[u8]) {
        let _ = bytes;
    }

    /// Called after [`MessagePolicy::head_accepted`], with the length of the body, or `None` if it is
    /// chunked, and with the bytes of it that were received together with the head.
    fn body_started(&self, length: Option<u64>, received: &[u8]) {
        let _ = (length, received);
    }

    /// Called when the socket has taken bytes.
    fn bytes_written(&self) {}

    /// Called when the socket has taken every byte that hyper had to write.
    fn output_written(&self) {}

    /// Called when bytes were received together with a message that do not belong to it. Hyper
    /// would notice them only when it reads on, which may be too late.
    fn bytes_follow_message(&self) {}

    /// Called when a head is accepted and goes to hyper. `complete_at` is when the last byte of its
    /// message was read; `None` if the message is not known to be complete yet.
    fn head_accepted(&self, complete_at: Option<Instant>) {
        let _ = complete_at;
    }

    /// Whether the last accepted message still waits for a complete response. The next message does
    /// not go to hyper until then, since hyper would not see the end of the connection behind it.
    fn awaits_response(&self) -> bool {
        false
    }
}

/// The stream that hyper reads and writes in place of the socket, under the policy `P`.
pub struct HeadFilter<P> {
    socket: Rc<TcpStream>,
    policy: P,
    /// Bytes that were read from the socket and not yet passed to hyper.
    buffer: BytesMut,
    /// How many bytes at the beginning of the buffer may go to hyper.
    readable: usize,
    /// What is expected behind the readable bytes.
    expected: Expected,
    /// When bytes were last read from the socket.
    read_at: Instant,
    /// Whether the head of the current message declares a body that is too large to be buffered.
    is_declared_large: bool,
    /// Bytes of the current message that were passed to hyper.
    passed_bytes: usize,
    /// Total length of the interim heads since the last final head or, if later, since a request
    /// was written.
    interim_bytes: usize,
}

/// The result of one step of reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadStep {
    /// Bytes were read or made readable; another step may follow.
    Progress,
    /// The peer has closed its side of the connection.
    EndOfStream,
}

impl<P: MessagePolicy> HeadFilter<P> {
    /// Wraps a socket from which nothing has been read yet.
    pub fn new(socket: Rc<TcpStream>, policy: P) -> Self {
        HeadFilter {
            socket,
            policy,
            buffer: BytesMut::new(),
            readable: 0,
            expected: P::BETWEEN_MESSAGES,
            read_at: Instant::now(),
            is_declared_large: false,
            passed_bytes: 0,
            interim_bytes: 0,
        }
    }

    /// Reads from the socket or makes buffered bytes readable, as far as one step goes. No bytes
    /// may be readable when it is called.
    fn poll_step(&mut self, cx: &mut Context) -> Poll<io::Result<ReadStep>> {
        match self.expected {
            Expected::Head if self.policy.awaits_response() => self.poll_read_ahead(cx),
            Expected::Head => self.poll_head(cx),
            Expected::Body(_) | Expected::Unsized if self.buffer.is_empty() => self.poll_fill(cx),
            Expected::Body(remaining) => {
                self.readable = self
                    .buffer
                    .len()
                    .min(usize::try_from(remaining).unwrap_or(usize::MAX));
                self.expected = Expected::Body(remaining - self.readable as u64);
                Poll::Ready(Ok(ReadStep::Progress))
            }
            Expected::Unsized => {
                self.readable = self.buffer.len();
                Poll::Ready(Ok(ReadStep::Progress))
            }
            Expected::Nothing => self.poll_end_of_stream(cx),
            Expected::Closed => Poll::Pending,
        }
    }

    /// Reads once from the socket into the buffer.
    fn poll_fill(&mut self, cx: &mut Context) -> Poll<io::Result<ReadStep>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            self.buffer.reserve(match self.expected {
                Expected::Unsized => MAX_READ_BYTES,
                Expected::Body(remaining) => {
                    remaining.clamp(MIN_READ_BYTES as u64, MAX_READ_BYTES as u64) as usize
                }
                Expected::Head | Expected::Nothing | Expected::Closed => MIN_READ_BYTES,
            });
            let length_before = self.buffer.len();
            match self.socket.try_read_buf(&mut self.buffer) {
                Err(error) if is_retryable(&error) => {}
                read => {
                    self.read_at = Instant::now();
                    if matches!(self.expected, Expected::Body(_) | Expected::Unsized) {
                        let received = &self.buffer[length_before..];
                        self.policy.body_bytes_received(received);
                    }
                    return Poll::Ready(read.map(|length| match length {
                        0 => ReadStep::EndOfStream,
                        _ => ReadStep::Progress,
                    }));
                }
            }
        }
    }

    /// Reads while the last request is in flight, only to notice the end of the connection.
    ///
    /// Pipelined requests wait in the buffer, and reading pauses once they fill [`MAX_HEAD_BYTES`].
    /// If the buffered bytes are no request, what exceeds that length is discarded, since the end
    /// of the connection would never be reached otherwise.
    fn poll_read_ahead(&mut self, cx: &mut Context) -> Poll<io::Result<ReadStep>> {
        if self.buffer.len() >= MAX_HEAD_BYTES {
            if may_begin_request(&self.buffer) {
                return Poll::Pending;
            }
            self.buffer.truncate(MAX_HEAD_BYTES);
        }
        self.poll_fill(cx)
    }

    /// Accepts the buffered head if it is complete, replaces it if it has to be rejected, and
    /// otherwise reads more of it.
    fn poll_head(&mut self, cx: &mut Context) -> Poll<io::Result<ReadStep>> {
        match self.accept_head() {
            Ok(true) => Poll::Ready(Ok(ReadStep::Progress)),
            Ok(false) => self.poll_fill(cx),
            Err(error) => {
                self.buffer.clear();
                let replacement = self.policy.reject(error)?;
                self.buffer.extend_from_slice(replacement);
                self.readable = self.buffer.len();
                self.expected = Expected::Closed;
                Poll::Ready(Ok(ReadStep::Progress))
            }
        }
    }

    /// Parses the head in the buffer, and makes it readable if it is complete. Returns whether it
    /// is.
    fn accept_head(&mut self) -> Result<bool, MessageError> {
        if self.buffer.is_empty() {
            return Ok(false);
        }
        self.policy.head_bytes_received()?;
        let Some(head) = self.policy.parse_head(&self.buffer)? else {
            return if self.buffer.len() < MAX_HEAD_BYTES {
                Ok(false)
            } else {
                Err(MessageError::HeadTooLong)
            };
        };
        if self.interim_bytes + head.length > MAX_HEAD_BYTES {
            return Err(MessageError::HeadTooLong);
        }
        self.readable = head.length;
        self.expected = head.next;
        self.is_declared_large =
            matches!(head.next, Expected::Body(length) if length > MAX_BUFFERED_BODY_BYTES as u64);
        self.interim_bytes = match head.next {
            Expected::Head => self.interim_bytes + head.length,
            _ => 0,
        };
        let is_complete = match head.next {
            Expected::Body(body) => (self.buffer.len() - head.length) as u64 >= body,
            _ => false,
        };
        self.policy
            .head_accepted(is_complete.then_some(self.read_at));
        let received = &self.buffer[head.length..];
        match head.next {
            Expected::Body(length) => self.policy.body_started(Some(length), received),
            Expected::Unsized => self.policy.body_started(None, received),
            Expected::Head | Expected::Nothing | Expected::Closed => {}
        }
        Ok(true)
    }

    /// Waits for the end of the connection. Any byte before that is an error.
    fn poll_end_of_stream(&mut self, cx: &mut Context) -> Poll<io::Result<ReadStep>> {
        if self.buffer.is_empty() && ready!(self.poll_fill(cx))? == ReadStep::EndOfStream {
            return Poll::Ready(Ok(ReadStep::EndOfStream));
        }
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "bytes received without a request",
        )))
    }

    /// Goes on to expect the next message, if the last byte of the current one was made readable.
    fn finish_message(&mut self) {
        if self.expected != Expected::Body(0) {
            return;
        }
        if self.buffer.len() > self.readable {
            self.policy.bytes_follow_message();
        }
        self.expected = P::BETWEEN_MESSAGES;
        self.passed_bytes = 0;
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new(); // Frees the memory of connections that stay idle for long.
        }
    }

    /// Returns how many bytes may be passed to hyper at once: more than usual if more are readable of a
    /// message that is too large to be buffered, and the policy allows it.
    fn max_pass_bytes(&self) -> usize {
        let is_large = self.is_declared_large || self.passed_bytes > MAX_BUFFERED_BODY_BYTES;
        if is_large && self.readable > USUAL_PASS_BYTES && self.policy.may_enlarge_buffer() {
            usize::MAX
        } else {
            USUAL_PASS_BYTES
        }
    }

    /// Copies readable bytes to hyper's buffer, as many as fit.
    fn copy_readable(&mut self, buf: &mut ReadBuf) {
        let length = self
            .readable
            .min(buf.remaining())
            .min(self.max_pass_bytes());
        self.passed_bytes += length;
        buf.put_slice(&self.buffer[..length]);
        self.buffer.advance(length);
        self.readable -= length;
    }
}

impl<P: MessagePolicy + Unpin> AsyncRead for HeadFilter<P> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let filter = self.get_mut();
        loop {
            filter.finish_message();
            if filter.readable > 0 {
                filter.copy_readable(buf);
                return Poll::Ready(Ok(()));
            }
            if ready!(filter.poll_step(cx))? == ReadStep::EndOfStream {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl<P: MessagePolicy + Unpin> HeadFilter<P> {
    /// Writes for hyper, if the policy allows it. Where nothing was expected, the head of a
    /// response is expected from then on, unless bytes were received before the write.
    fn poll_write_with(
        self: Pin<&mut Self>,
        cx: &mut Context,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let filter = self.get_mut();
        loop {
            ready!(filter.socket.poll_write_ready(cx))?;
            filter.policy.may_write()?;
            match write(&filter.socket) {
                Err(error) if is_retryable(&error) => {}
                written => {
                    if written.is_ok() {
                        filter.policy.bytes_written();
                    }
                    if filter.expected == Expected::Nothing && filter.buffer.is_empty() {
                        filter.expected = Expected::Head;
                        filter.interim_bytes = 0;
                    }
                    return Poll::Ready(written);
                }
            }
        }
    }
}

impl<P: MessagePolicy + Unpin> AsyncWrite for HeadFilter<P> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Hyper flushes once its own buffer is empty, and the filter has none for output.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        self.policy.output_written();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.socket).shutdown(Shutdown::Write))
    }
}
