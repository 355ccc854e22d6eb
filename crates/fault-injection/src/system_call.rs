//! The system calls whose failures a test can inject.

/// A system call that can be made to fail. Its discriminant is the index of its failures in the
/// shared memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `socket`, which creates a socket.
    Socket,
    /// `bind`, which assigns an address to a socket.
    Bind,
    /// `listen`, which makes a socket accept connections.
    Listen,
    /// `connect`, which starts a connection to a peer.
    Connect,
    /// `accept4`, which takes a connection from a listening socket.
    Accept,
    /// `epoll_wait`. Only `EINTR` is a meaningful error for it.
    EpollWait,
    /// `poll`. Only `EINTR` is a meaningful error for it.
    Poll,
    /// `recv` on a TCP socket that the process connected itself, as opposed to one it accepted.
    Receive,
    /// `send` and `writev` on a TCP socket.
    Send,
    /// `open64` of a file for reading only.
    OpenRead,
    /// `open64` of a file for writing, or for both reading and writing.
    OpenWrite,
    /// `write` to a regular file, except on the standard streams.
    Write,
    /// `fsync` and `fdatasync`, which flush a file to the disk.
    Sync,
    /// `rename`, which moves a file to another path.
    Rename,
}

impl SystemCall {
    /// The number of system calls in this enum.
    pub(crate) const COUNT: usize = SystemCall::Rename as usize + 1;
}
