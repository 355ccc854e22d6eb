//! Stores the operator state in a file for the next process of the node. While two processes of a
//! node run, both read and change the state through that file.

use super::file_lock::{lock, LockError, Presence};
use crate::transient_errors::retry_at_start;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{self, Read, Write as _};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime};

/// Version of the state file's format.
const FORMAT_VERSION: u32 = 1;
/// Name of the file that holds the state.
///
/// The name and the JSON keys must not change: during an upgrade both the old and the new version
/// read and write the file.
const STATE_FILE: &str = "birchswitch.json";
/// Name of the file that a new state is written to, until it is complete and replaces
/// [`STATE_FILE`]. The name must not change, for the same reason.
const NEW_STATE_FILE: &str = "birchswitch.json.next";
/// Name of the file that a process locks while it changes the state. The name must not change, for
/// the same reason.
const LOCK_FILE: &str = "birchswitch.lock";
/// Number of bytes of the state file that are read at most, far more than the names of the backends
/// of any fleet take.
const MAX_STATE_BYTES: u64 = 1 << 20;
/// Pause after a failed write, before a change that no operator waits for is tried.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The operator state: what operators have requested and not revoked.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorState {
    /// Whether the node is drained.
    pub draining: bool,
    /// Names of the backends in maintenance. They receive no new requests.
    #[serde(rename = "out")]
    pub in_maintenance: BTreeSet<String>,
    /// Names of the backends that were returned from maintenance and may still be in slow start,
    /// each with a marker of the operator's call that returned it. A process treats a marker that
    /// it has not seen before as a start of the backend. The marker does not tell the time, since
    /// clocks may be stepped.
    #[serde(rename = "returned")]
    pub returned_from_maintenance: BTreeMap<String, u64>,
}

impl OperatorState {
    /// Records that a backend was returned from maintenance, with a marker that differs from the
    /// previous one. `wall_clock` is this machine's time.
    pub fn mark_returned(&mut self, name: &str, wall_clock: SystemTime) {
        let unix_time = wall_clock
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let marker = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX);
        let least_marker = self
            .returned_from_maintenance
            .get(name)
            .map_or(0, |previous| previous.wrapping_add(1));
        self.returned_from_maintenance
            .insert(name.to_owned(), marker.max(least_marker));
    }
}

/// The content of the state file.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredState {
    /// Format version of the file.
    version: u32,
    /// Name of the node that the state belongs to.
    node: String,
    #[serde(rename = "word")]
    state: OperatorState,
}

/// Why the operator state could not be read or stored.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file could not be opened, read, locked or written.
    #[error("cannot access {file}: {source}")]
    Io {
        /// Name of the file.
        file: &'static str,
        /// The error of the system call.
        source: io::Error,
    },
    /// Another process holds the lock on [`LOCK_FILE`].
    #[error("{LOCK_FILE} is locked by another process")]
    Locked,
    /// The content of the state file is damaged or was not written by this program.
    #[error("{STATE_FILE} has invalid content: {0}")]
    Invalid(#[from] serde_json::Error),
    /// The state file has another format version or belongs to another node.
    #[error("{STATE_FILE} belongs to another version or node: version {version}, node {node:?}")]
    Foreign {
        /// Format version of the file.
        version: u32,
        /// Name of the node that the file belongs to.
        node: String,
    },
}

impl StoreError {
    /// Returns a function that wraps a system call's error on the file of this name.
    fn io(file: &'static str) -> impl Fn(io::Error) -> StoreError {
        move |source| StoreError::Io { file, source }
    }
}

/// Metadata by which a change of the state file is detected without reading it.
#[derive(Clone, Copy, PartialEq)]
struct FileIdentity {
    inode: u64,
    bytes: u64,
    modified: Option<SystemTime>,
}

/// Owns the operator state, and keeps it in a file if there is a directory for one.
pub struct OperatorStateStore {
    /// Directory of the state file and the lock files. `None` if the state is not stored.
    directory: Option<PathBuf>,
    /// Name of the node that the state belongs to.
    node: String,
    /// The current state of this process.
    state: RefCell<OperatorState>,
    /// Identity of the state file that was read last. `None` if none was read.
    last_read: Cell<Option<FileIdentity>>,
    /// When the latest write failed. `None` if it succeeded or there was none.
    write_failed_at: Cell<Option<Instant>>,
    /// The locks by which the processes of the node detect each other.
    presence: RefCell<Presence>,
}

impl OperatorStateStore {
    /// Opens the store with the state that the previous process of the node has left in
    /// `directory`. Also returns the reason why that state is unusable, if it is; then the store
    /// begins with the default state. Without a directory the state ends with the process.
    ///
    /// Blocks while reading fails with transient errors, for as long as [`retry_at_start`] does.
    pub fn open(directory: Option<PathBuf>, node: &str) -> (Self, Option<StoreError>) {
        let store = OperatorStateStore {
            directory,
            node: node.to_owned(),
            state: RefCell::default(),
            last_read: Cell::new(None),
            write_failed_at: Cell::new(None),
            presence: RefCell::default(),
        };
        let refreshed = retry_at_start(STATE_FILE, || match store.refresh() {
            Err(StoreError::Io { source, .. }) => Err(source),
            refreshed => Ok(refreshed),
        });
        let load_error = match refreshed {
            Ok(refreshed) => refreshed.err(),
            Err(error) => Some(StoreError::io(STATE_FILE)(error)),
        };
        (store, load_error)
    }

    /// Returns the current state.
    pub fn state(&self) -> Ref<'_, OperatorState> {
        self.state.borrow()
    }

    /// Reads the state file if it has changed since it was last read, and returns whether that
    /// changes the state. Changes nothing if there is no file.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be used; the state stays as it is then. After [`StoreError::Io`]
    /// the next call reads the file again. A file that is [`StoreError::Invalid`] or
    /// [`StoreError::Foreign`] is not read again until it changes.
    pub fn refresh(&self) -> Result<bool, StoreError> {
        let Some(directory) = &self.directory else {
            return Ok(false);
        };
        let metadata = match fs::metadata(directory.join(STATE_FILE)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(false),
            metadata => metadata.map_err(StoreError::io(STATE_FILE))?,
        };
        let identity = Some(FileIdentity {
            inode: metadata.ino(),
            bytes: metadata.len(),
            modified: metadata.modified().ok(),
        });
        if self.last_read.get() == identity {
            return Ok(false);
        }
        let read = read_state(directory, &self.node);
        if !matches!(read, Err(StoreError::Io { .. })) {
            self.last_read.set(identity);
        }
        let Some(state) = read? else {
            return Ok(false);
        };
        let is_changed = state != *self.state.borrow();
        *self.state.borrow_mut() = state;
        Ok(is_changed)
    }

    /// Changes the state for all processes of the node, and returns the result of `change`. The
    /// change applies to the state that any of the processes has stored last or, if there is no
    /// usable file, to that of this process. It is durable once this returns, if there is a
    /// directory for the file.
    ///
    /// # Errors
    ///
    /// Returns why the change cannot be stored: [`StoreError::Locked`] if another process keeps the
    /// lock, or [`StoreError::Io`]. Nothing has changed then, not even the state of this process.
    pub async fn change<T>(
        &self,
        change: impl FnOnce(&mut OperatorState) -> T,
    ) -> Result<T, StoreError> {
        let Some(directory) = &self.directory else {
            return Ok(change(&mut self.state.borrow_mut()));
        };
        let _lock = lock(&directory.join(LOCK_FILE))
            .await
            .map_err(|error| match error {
                LockError::Held => StoreError::Locked,
                LockError::Io(source) => StoreError::io(LOCK_FILE)(source),
            })?;
        let latest = match read_state(directory, &self.node) {
            Ok(latest) => latest,
            // The file may hold another process's change, which writing would undo.
            Err(error @ StoreError::Io { .. }) => return Err(error),
            // Invalid content is replaced: it was logged when it was first read.
            Err(_) => None,
        };
        let previous = latest.unwrap_or_else(|| self.state.borrow().clone());
        let mut state = previous.clone();
        let result = change(&mut state);
        if state != previous {
            self.replace(directory, &previous, &state).await?;
        }
        *self.state.borrow_mut() = state;
        Ok(result)
    }

    /// Returns whether a change that no operator waits for may be tried: not within
    /// [`WRITE_RETRY_INTERVAL`] after a failed write.
    pub fn may_write(&self) -> bool {
        self.write_failed_at
            .get()
            .is_none_or(|failed_at| failed_at.elapsed() >= WRITE_RETRY_INTERVAL)
    }

    /// Replaces the state file. `previous` is the state to restore if that fails. Runs on a thread
    /// of its own, since syncing may take long.
    async fn replace(
        &self,
        directory: &Path,
        previous: &OperatorState,
        state: &OperatorState,
    ) -> Result<(), StoreError> {
        let previous_json = self.to_json(previous)?;
        let json = self.to_json(state)?;
        let directory = directory.to_owned();
        let replacing = tokio::task::spawn_blocking(move || {
            let written = write_file(&directory, &json);
            if written.is_err() {
                // The new file may be in place without having been synced. A change that fails must
                // leave the previous state.
                let _ = write_file(&directory, &previous_json);
            }
            written
        });
        let written = replacing
            .await
            .unwrap_or_else(|panicked| Err(io::Error::other(panicked)));
        self.write_failed_at
            .set(written.is_err().then(Instant::now));
        written.map_err(StoreError::io(STATE_FILE))
    }

    fn to_json(&self, state: &OperatorState) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(&StoredState {
            version: FORMAT_VERSION,
            node: self.node.clone(),
            state: state.clone(),
        })
    }

    /// Returns whether another process of this node runs and has not received SIGTERM or SIGINT,
    /// so that it accepts the connections to a shared listener. Always false without a directory.
    pub fn peer_process_serving(&self) -> bool {
        self.directory
            .as_ref()
            .is_some_and(|directory| self.presence.borrow_mut().peer_process_serving(directory))
    }

    /// Shows a peer process that this one has received SIGTERM or SIGINT.
    pub fn stop_serving(&self) {
        self.presence.borrow_mut().stop_serving();
    }

    /// Returns whether another process of this node runs. Also makes this process visible to the
    /// other one for as long as it runs. Always false without a directory.
    pub fn peer_process_running(&self) -> bool {
        self.directory
            .as_ref()
            .is_some_and(|directory| self.presence.borrow_mut().peer_process_running(directory))
    }
}

/// Reads the state file. Returns `None` if there is none.
fn read_state(directory: &Path, node: &str) -> Result<Option<OperatorState>, StoreError> {
    let file = match File::open(directory.join(STATE_FILE)) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        file => file.map_err(StoreError::io(STATE_FILE))?,
    };
    let mut json = Vec::new();
    file.take(MAX_STATE_BYTES)
        .read_to_end(&mut json)
        .map_err(StoreError::io(STATE_FILE))?;
    let stored: StoredState = serde_json::from_slice(&json)?;
    if stored.version == FORMAT_VERSION && stored.node == node {
        Ok(Some(stored.state))
    } else {
        Err(StoreError::Foreign {
            version: stored.version,
            node: stored.node,
        })
    }
}

/// Replaces the state file durably, and atomically, so that no process reads a part of it.
fn write_file(directory: &Path, json: &[u8]) -> io::Result<()> {
    let mut file = File::create(directory.join(NEW_STATE_FILE))?;
    file.write_all(json)?;
    file.sync_all()?;
    drop(file);
    fs::rename(directory.join(NEW_STATE_FILE), directory.join(STATE_FILE))?;
    File::open(directory)?.sync_all()
}

#[cfg(test)]
#[path = "store_tests.rs"]
mod tests;
