//! Advisory locks on files, which end with the process that holds them.

use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Pause before a lock that another process holds is tried again.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// Attempts at a lock that another process holds. All of them take less time than callers wait.
const MAX_LOCK_ATTEMPTS: usize = 200;

/// Files of which the processes of a node lock one each while they run.
///
/// The names stay as they are: during an upgrade the old version and the new one find each other by
/// them.
const PRESENCE_FILES: [&str; 2] = ["birchswitch.0", "birchswitch.1"];

/// Files of which the processes of a node lock one each until they are told to end, by their position
/// among [`PRESENCE_FILES`]. Earlier versions lock none.
const SERVING_FILES: [&str; 2] = ["birchswitch.0.serving", "birchswitch.1.serving"];

/// An exclusive lock on a file. Dropping it releases the lock.
#[derive(Debug)]
pub struct FileLock {
    /// Closing the file releases the lock.
    _file: File,
}

/// Why a lock was not acquired.
#[derive(Debug)]
pub enum LockError {
    /// Another process holds it.
    Held,
    /// The file cannot be opened or locked.
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

/// Locks a file, which is created if there is none, without waiting.
///
/// # Errors
///
/// Fails if another process holds the lock, or with the error of the file system.
pub fn try_lock(path: &Path) -> Result<FileLock, LockError> {
    let file = open(path)?;
    file.try_lock()?;
    Ok(FileLock { _file: file })
}

/// Locks a file, which is created if there is none, and waits for a process that holds the lock for
/// a moment.
///
/// # Errors
///
/// Fails if the lock is still held after several attempts, or with the error of the file system.
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

/// The locks by which a peer process of the same node detects that this process runs, and that it has
/// not been told to end.
#[derive(Default)]
pub struct Presence {
    /// The index among [`PRESENCE_FILES`] and the lock on that file, once one was acquired.
    own: Option<(usize, FileLock)>,
    /// The lock on the file of that index among [`SERVING_FILES`].
    serving: Option<FileLock>,
    has_stopped_serving: bool,
}

impl Presence {
    /// Whether another process of the node runs. Also claims a presence file if this process has
    /// none yet.
    pub fn peer_process_running(&mut self, folder: &Path) -> bool {
        let paths: Vec<PathBuf> = PRESENCE_FILES
            .iter()
            .map(|name| folder.join(name))
            .collect();
        if self.own.is_none() {
            self.own = (0..paths.len())
                .find_map(|index| try_lock(&paths[index]).ok().map(|lock| (index, lock)));
        }
        let Some((own_index, _)) = self.own else {
            return true;
        };
        // The peer process may be looking at the file at this moment: then it is tried again.
        if self.serving.is_none() && !self.has_stopped_serving {
            self.serving = try_lock(&folder.join(SERVING_FILES[own_index])).ok();
        }
        // A lock that can be acquired is released at once.
        (0..paths.len()).any(|index| index != own_index && try_lock(&paths[index]).is_err())
    }

    /// Whether another process of the node runs that has not been told to end. Of an earlier version
    /// that is never known.
    pub fn peer_process_serving(&mut self, folder: &Path) -> bool {
        if !self.peer_process_running(folder) {
            return false;
        }
        let Some((own_index, _)) = self.own else {
            return true;
        };
        (0..SERVING_FILES.len()).any(|index| {
            index != own_index && try_lock(&folder.join(SERVING_FILES[index])).is_err()
        })
    }

    /// Shows the peer process that this one has been told to end.
    pub fn stop_serving(&mut self) {
        self.has_stopped_serving = true;
        self.serving = None;
    }
}
