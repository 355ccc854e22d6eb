//! Takes over a listening socket that the process inherits as an open file descriptor, so that
//! connections are accepted without interruption during an upgrade.

use socket2::Socket;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// Name of the environment variable that holds the number of the inherited descriptor.
pub const LISTEN_FD_VARIABLE: &str = "GW_LISTEN_FD";
/// Highest descriptor of a standard stream, standard error. Descriptors up to it are never
/// listeners.
const LAST_STANDARD_STREAM: RawFd = 2;

/// Why an inherited descriptor cannot be used as the listener for clients.
#[derive(Debug, thiserror::Error)]
pub enum InheritError {
    /// The variable's value is not a number, or not that of a descriptor above the standard
    /// streams.
    #[error(
        "{LISTEN_FD_VARIABLE} {0:?} is not a descriptor's number above {LAST_STANDARD_STREAM}"
    )]
    InvalidNumber(String),
    /// The descriptor is not open or not a socket, or cannot be made non-blocking.
    #[error("descriptor {0} of {LISTEN_FD_VARIABLE} is no socket: {1}")]
    NotSocket(RawFd, io::Error),
    /// The descriptor is a socket that does not listen.
    #[error("descriptor {0} of {LISTEN_FD_VARIABLE} does not listen")]
    NotListening(RawFd),
    /// The socket listens on an address other than the expected one, which is given.
    #[error("descriptor {0} of {LISTEN_FD_VARIABLE} does not listen on {1}")]
    OtherAddress(RawFd, SocketAddr),
}

/// Takes ownership of the listening socket whose descriptor is `number`, and makes it non-blocking.
///
/// # Errors
///
/// Returns an [`InheritError`] if `number` is not that of a socket that listens on `address`. The
/// descriptor stays open then, since it may belong to something else.
pub fn inherit_listener(number: &str, address: SocketAddr) -> Result<TcpListener, InheritError> {
    let fd: RawFd = number
        .parse()
        .ok()
        .filter(|fd| *fd > LAST_STANDARD_STREAM)
        .ok_or_else(|| InheritError::InvalidNumber(number.to_owned()))?;
    // SAFETY: The parent process has opened this descriptor for this process, as the variable
    // states, and nothing else in this process uses or closes it. Whether it is open is checked
    // next; on failure the socket is forgotten below, which does not close the descriptor.
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

/// Checks that a socket listens on `address`, and makes it non-blocking. `fd` is its descriptor.
///
/// # Errors
///
/// Returns the [`InheritError`] of the first check that fails.
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
