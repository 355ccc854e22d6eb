//! Takes over a listening socket that the process inherits as an open descriptor, so that connections
//! are accepted without a gap during an upgrade.

use socket2::Socket;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// The variable that holds the descriptor's number.
pub const LISTEN_FD_VARIABLE: &str = "GW_LISTEN_FD";
/// The highest descriptor that is never a listener: standard error.
const LAST_STANDARD_STREAM: RawFd = 2;

/// Why an inherited descriptor cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritError {
    /// It is not the number of a descriptor that may be handed over.
    #[error(
        "{LISTEN_FD_VARIABLE} {0:?} is not a descriptor's number above {LAST_STANDARD_STREAM}"
    )]
    InvalidNumber(String),
    /// There is no open socket of that number.
    #[error("descriptor {0} of {LISTEN_FD_VARIABLE} is no socket: {1}")]
    NotSocket(RawFd, io::Error),
    /// The socket does not listen.
    #[error("descriptor {0} of {LISTEN_FD_VARIABLE} does not listen")]
    NotListening(RawFd),
    /// It listens elsewhere.
    #[error("descriptor {0} of {LISTEN_FD_VARIABLE} does not listen on {1}")]
    OtherAddress(RawFd, SocketAddr),
}

/// Takes over the listening socket with the descriptor `number`, and makes it non-blocking.
///
/// # Errors
///
/// Fails if it is not a socket that listens on `address`. The descriptor stays open then: it may
/// belong to something else.
pub fn inherit_listener(number: &str, address: SocketAddr) -> Result<TcpListener, InheritError> {
    let fd: RawFd = number
        .parse()
        .ok()
        .filter(|fd| *fd > LAST_STANDARD_STREAM)
        .ok_or_else(|| InheritError::InvalidNumber(number.to_owned()))?;
    // SAFETY: Whoever started the process opened this descriptor for it, says so by the variable,
    // and nothing else here uses or closes it. Whether it is open is checked next; on failure it is
    // given up below without closing it.
    #[allow(unsafe_code)]
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(fd) });
    match prepare(&socket, fd, address) {
        Ok(()) => Ok(socket.into()),
        Err(error) => {
            std::mem::forget(socket);
            Err(error)
        }
    }
}

/// Checks that a socket listens on `address`, and makes it non-blocking.
fn prepare(socket: &Socket, fd: RawFd, address: SocketAddr) -> Result<(), InheritError> {
    let not_socket = |error| InheritError::NotSocket(fd, error);
    if !socket.is_listener().map_err(not_socket)? {
        return Err(InheritError::NotListening(fd));
    }
    let local_address = socket.local_addr().ok().and_then(|local| local.as_socket());
    if local_address != Some(address) {
        return Err(InheritError::OtherAddress(fd, address));
    }
    socket.set_nonblocking(true).map_err(not_socket)
}

#[cfg(test)]
#[path = "listener_inheritance_tests.rs"]
mod tests;
