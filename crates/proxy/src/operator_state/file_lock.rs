//! Advisory locks on files. The system releases them when the process that holds them ends.

use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Pause before the next attempt at a lock that another process holds.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// Number of attempts at a lock that another process holds. Together they take less time than
/// callers wait.
const MAX_LOCK_ATTEMPTS: usize = 200;

/// Names of the presence files. Each process of a node locks one of them for as long as it runs.
///
/// The names must not change: during an upgrade the old and the new version detect each other by
/// them.
const PRESENCE_FILES: [&str; 2] = ["birchswitch.0", "birchswitch.1"];

/// Names of the files that show which processes are serving. Each process of a node locks the one
/// at the index of its presence file in [`PRESENCE_FILES`], until it receives SIGTERM or SIGINT.
/// Earlier versions lock none.
const SERVING_FILES: [&str; 2] = ["birchswitch.0.serving", "birchswitch.1.serving"];

/// An exclusive lock on a file. Dropping the value releases the lock.
#[derive(Debug)]
pub struct FileLock {
    /// The locked file. Closing it releases the lock.
    _file: File,
}

/// Why a lock was not acquired.
#[derive(Debug)]
pub enum LockError {
    /// The lock is held already, as a rule by another process.
    Held,
    /// Opening or locking the file failed.
    Io(io::Error),
}

impl From<TryLockError> for LockError {
    fn from(error: TryLockError) -> Self {
        match error {
            TryLockError::WouldBlock => LockError::Held,
            TryLockError::Error(error) => LockError::Io(error),
        }
    }
}

/// Locks a file without waiting. The file is created if it does not exist.
///
/// # Errors
///
/// Returns [`LockError::Held`] if the lock is held already, or [`LockError::Io`] if the file cannot
/// be opened or locked.
pub fn try_lock(path: &Path) -> Result<FileLock, LockError> {
    let file = open(path)?;
    file.try_lock()?;
    Ok(FileLock { _file: file })
}

/// Locks a file, and waits for a process that holds the lock only briefly. The file is created if
/// it does not exist.
///
/// # Errors
///
/// Returns [`LockError::Held`] if the lock is still held after [`MAX_LOCK_ATTEMPTS`] attempts, or
/// [`LockError::Io`] if the file cannot be opened or locked.
pub async fn lock(path: &Path) -> Result<FileLock, LockError> {
    let file = open(path)?;
    for _ in 0..MAX_LOCK_ATTEMPTS {
        match file.try_lock() {
            Ok(()) => return Ok(FileLock { _file: file }),
            Err(TryLockError::WouldBlock) => tokio::time::sleep(LOCK_RETRY_INTERVAL).await,
            Err(error) => return Err(error.into()),
        }
    }
    Err(LockError::Held)
}

fn open(path: &Path) -> Result<File, LockError> {
    File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)
        .map_err(LockError::Io)
}

/// The locks that show a peer process of the same node that this process runs and whether it has
/// received SIGTERM or SIGINT, and the checks for the peer's locks.
#[derive(Default)]
pub struct Presence {
    /// Index of this process's file in [`PRESENCE_FILES`] and the lock on it, once one was
    /// acquired.
    own: Option<(usize, FileLock)>,
    /// Lock on the file of the same index in [`SERVING_FILES`], once it was acquired and until this
    /// process receives SIGTERM or SIGINT.
    serving: Option<FileLock>,
    /// Whether this process has received SIGTERM or SIGINT.
    has_stopped_serving: bool,
}

impl Presence {
    /// Returns whether another process of the node runs; true as well if this process can lock none
    /// of the presence files. Also acquires the locks that this process does not hold yet: those on
    /// a presence file and on the serving file that belongs to it.
    pub fn peer_process_running(&mut self, directory: &Path) -> bool {
        let paths: Vec<PathBuf> = PRESENCE_FILES
            .iter()
            .map(|name| directory.join(name))
            .collect();
        if self.own.is_none() {
            self.own = (0..paths.len())
                .find_map(|index| try_lock(&paths[index]).ok().map(|lock| (index, lock)));
        }
        let Some((own_index, _)) = self.own else {
            return true;
        };
        // This fails while the peer process checks the same lock; the next call tries again.
        if self.serving.is_none() && !self.has_stopped_serving {
            self.serving = try_lock(&directory.join(SERVING_FILES[own_index])).ok();
        }
        // A lock of another process's file that can be acquired is released immediately.
        (0..paths.len()).any(|index| index != own_index && try_lock(&paths[index]).is_err())
    }

    /// Returns whether another process of the node runs that has not received SIGTERM or SIGINT.
    /// An earlier version counts as having received one, since it locks no serving file; if this
    /// process holds no presence file, the answer is always yes.
    pub fn peer_process_serving(&mut self, directory: &Path) -> bool {
        if !self.peer_process_running(directory) {
            return false;
        }
        let Some((own_index, _)) = self.own else {
            return true;
        };
        (0..SERVING_FILES.len()).any(|index| {
            index != own_index && try_lock(&directory.join(SERVING_FILES[index])).is_err()
        })
    }

    /// Releases the lock that shows the peer process that this one has not received SIGTERM or
    /// SIGINT.
    pub fn stop_serving(&mut self) {
        self.has_stopped_serving = true;
        self.serving = None;
    }
}
