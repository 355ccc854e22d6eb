//! TCP socket calls that ask the kernel instead of relying on cached readiness, and that are
//! repeated when they were interrupted or the socket was not ready.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Size in bytes of the buffer for bytes that are skipped by [`peek_end`]. The system takes 1,024 parts at
/// most, which are more than a socket can hold.
const SKIP_BUFFER_BYTES: usize = 16 << 10;

/// A TCP stream that waits for readiness only after the kernel has reported that no bytes are left.
///
/// Tokio's own stream takes a read that fills only part of the buffer as a sign that no bytes are
/// left, and waits for readiness. A read may be short for other reasons, and the remaining bytes
/// would then be noticed only when more arrive. This type waits for readiness only once the kernel
/// has returned `WouldBlock`, and repeats interrupted calls.
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
                Err(error) if is_retryable(&error) => {}
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
                Err(error) if is_retryable(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(())) // Writes are not buffered.
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

/// Whether a call on a socket has to be repeated: immediately if it was interrupted, or once the
/// socket is ready.
pub fn is_retryable(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}

/// Whether a socket is open and has no unread bytes.
///
/// Asks the kernel, since the readiness that the runtime has cached may be out of date.
pub fn is_open_without_unread_bytes(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    loop {
        match SockRef::from(socket).peek(&mut byte) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock),
        }
    }
}

/// Whether the peer has closed its side of a connection or reset it, even if there are unread bytes
/// before the end.
///
/// Asks the kernel, since the readiness that the runtime has cached may be out of date.
pub fn is_closed_by_peer(socket: &TcpStream) -> bool {
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(socket, closed)];
    let no_wait = Timespec::default();
    loop {
        match poll(&mut polled, Some(&no_wait)) {
            Err(Errno::INTR) => {}
            result => return matches!(result, Ok(1..)) && polled[0].revents().intersects(closed),
        }
    }
}

/// Returns how many bytes the system has received that were not read yet; 0 if it does not tell.
pub fn unread_bytes(socket: &TcpStream) -> usize {
    queued_bytes(socket, libc::FIONREAD)
}

/// Returns the last `MAX` of the first `unread` bytes that were received and not read, without reading
/// them. Returns fewer if there are fewer, and none if the system does not tell.
///
/// The system copies all of them, since it cannot skip any. Those before the last ones go to one small
/// buffer, again and again.
pub fn peek_end<const MAX: usize>(socket: &TcpStream, unread: usize) -> Vec<u8> {
    let mut skipped_bytes = [0_u8; SKIP_BUFFER_BYTES];
    let mut end = [0_u8; MAX];
    let mut to_skip = unread.saturating_sub(MAX);
    let skipped = to_skip;
    let mut parts = Vec::with_capacity(to_skip / SKIP_BUFFER_BYTES + 2);
    while to_skip > 0 {
        let length = to_skip.min(SKIP_BUFFER_BYTES);
        parts.push(libc::iovec {
            iov_base: skipped_bytes.as_mut_ptr().cast(),
            iov_len: length,
        });
        to_skip -= length;
    }
    parts.push(libc::iovec {
        iov_base: end.as_mut_ptr().cast(),
        iov_len: unread.min(MAX),
    });
    // SAFETY: All zero is a valid `msghdr`. The call writes only to the two buffers, within their lengths.
    #[allow(unsafe_code)]
    let received = unsafe {
        let mut message: libc::msghdr = std::mem::zeroed();
        message.msg_iov = parts.as_mut_ptr();
        message.msg_iovlen = parts.len() as _;
        let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
        libc::recvmsg(socket.as_raw_fd(), &raw mut message, flags)
    };
    let length = usize::try_from(received)
        .unwrap_or(0)
        .saturating_sub(skipped);
    end[..length].to_vec()
}

/// Returns how many bytes of the output of a socket its peer has not acknowledged, with one for the
/// end of the output; 0 if the system does not tell.
pub fn unacknowledged_bytes(socket: &TcpStream) -> usize {
    queued_bytes(socket, libc::TIOCOUTQ)
}

/// Returns the number of bytes in the queue of a socket that the request names; 0 if the system does not
/// tell.
fn queued_bytes(socket: &TcpStream, request: libc::Ioctl) -> usize {
    let mut bytes: libc::c_int = 0;
    // SAFETY: The request writes one integer, to which the pointer leads.
    #[allow(unsafe_code)]
    let result = unsafe { libc::ioctl(socket.as_raw_fd(), request, &raw mut bytes) };
    if result == 0 {
        usize::try_from(bytes).unwrap_or(0)
    } else {
        0
    }
}
