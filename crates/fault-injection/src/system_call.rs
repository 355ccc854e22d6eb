//! The system calls that can fail.

/// A system call that can be made to fail. Its position is its place in the shared memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `socket`.
    Socket,
    /// `bind`.
    Bind,
    /// `listen`.
    Listen,
    /// `connect`.
    Connect,
    /// `accept4`.
    Accept,
    /// `epoll_wait`, for which EINTR alone makes sense.
    EpollWait,
    /// `poll`, for which EINTR alone makes sense.
    Poll,
    /// `recv` on a TCP socket that the process has connected itself.
    Receive,
    /// `send` and `writev` on a TCP socket.
    Send,
    /// `open` of a regular file for reading.
    OpenRead,
    /// `open` of a regular file for writing.
    OpenWrite,
    /// `write` to a regular file.
    Write,
    /// `fsync` and `fdatasync`.
    Sync,
    /// `rename`.
    Rename,
}

impl SystemCall {
    /// How many there are.
    pub(crate) const COUNT: usize = SystemCall::Rename as usize + 1;
}
