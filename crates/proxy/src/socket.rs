//! A TCP connection for readers and writers that know nothing of what may go wrong with single
//! calls.
//!
//! The runtime's own stream takes a read that fills only a part of its buffer for a sign that
//! nothing is left, and waits for more to come. A read may be short for other reasons: what is left
//! would be found only with the next bytes. Here a socket counts as read out only once the system
//! says so, and an interrupted call is made again.

use crate::http1::head_filter::passes;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// See the module's own words.
pub struct Socket(pub TcpStream);

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Err(error) if passes(&error) => {}
                read => return Poll::Ready(read.map(|length| buf.advance(length))),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(bytes) {
                Err(error) if passes(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(())) // Nothing is held back.
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
