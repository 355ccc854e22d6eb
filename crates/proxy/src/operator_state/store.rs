//! What operators have requested, stored in one file for the next process of the node. While two
//! processes of a node run, both go by that file.

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

/// Version of the file's form.
const FORMAT_VERSION: u32 = 1;
/// The file that holds the state.
///
/// Its name and JSON keys stay as they are: during an upgrade the old version and the new one read
/// and write it together.
const STATE_FILE: &str = "birchswitch.json";
/// The new file, until it is complete and replaces the other. Its name stays, as above.
const NEW_STATE_FILE: &str = "birchswitch.json.next";
/// Locked while a process changes the state. Its name stays, as above.
const LOCK_FILE: &str = "birchswitch.lock";
/// Bytes read of the state file at most, far more than the names of any fleet take.
const MAX_STATE_BYTES: u64 = 1 << 20;
/// Pause after a change that could not be written, before one that no operator waits for is tried.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// What operators have requested and not revoked.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorState {
    /// Whether the node is drained.
    pub draining: bool,
    /// Names of the backends in maintenance, which get no new requests.
    #[serde(rename = "out")]
    pub in_maintenance: BTreeSet<String>,
    /// Names of backends that were put back into use and may still be warming up, each with a marker
    /// of the call that did so. A marker that a process has not seen before is a start of the
    /// backend. It does not tell the time, since clocks may be stepped.
    #[serde(rename = "returned")]
    pub returned_from_maintenance: BTreeMap<String, u64>,
}

impl OperatorState {
    /// Notes that a backend is put back into use, with a marker that differs from those before.
    /// `wall_clock` is this machine's time.
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

/// The state file's content.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredState {
    version: u32,
    /// Name of the node that the state belongs to.
    node: String,
    #[serde(rename = "word")]
    state: OperatorState,
}

/// Why the operators' state cannot be read or stored.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file cannot be read or written.
    #[error("{file}: {source}")]
    Io {
        /// Its name.
        file: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// Another process holds the lock.
    #[error("{LOCK_FILE} is held")]
    Locked,
    /// The file is damaged, or not of this program.
    #[error("{STATE_FILE} can't be read: {0}")]
    Invalid(#[from] serde_json::Error),
    /// The file is of another version or another node.
    #[error("{STATE_FILE} is of version {version} and node {node:?}")]
    Foreign {
        /// The file's version.
        version: u32,
        /// The file's node.
        node: String,
    },
}

impl StoreError {
    fn io(file: &'static str) -> impl Fn(io::Error) -> StoreError {
        move |source| StoreError::Io { file, source }
    }
}

/// Identifies a version of the state file without reading it.
#[derive(Clone, Copy, PartialEq)]
struct FileIdentity {
    inode: u64,
    bytes: u64,
    modified: Option<SystemTime>,
}

/// Owner of the operators' state, which it keeps in a file if there is a folder for one.
pub struct OperatorStateStore {
    folder: Option<PathBuf>,
    node: String,
    state: RefCell<OperatorState>,
    /// The file that was read last.
    last_read: Cell<Option<FileIdentity>>,
    /// When the latest change was tried, if it could not be written.
    write_failed_at: Cell<Option<Instant>>,
    presence: RefCell<Presence>,
}

impl OperatorStateStore {
    /// Opens the store with what the previous process of the node has left in `folder`, and returns
    /// the reason why that is unusable, if it is. Without a folder the state ends with the process.
    ///
    /// Blocks while reading fails for reasons that may pass, for as long as [`retry_at_start`] does.
    pub fn open(folder: Option<PathBuf>, node: &str) -> (Self, Option<StoreError>) {
        let store = OperatorStateStore {
            folder,
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
        let problem = match refreshed {
            Ok(refreshed) => refreshed.err(),
            Err(error) => Some(StoreError::io(STATE_FILE)(error)),
        };
        (store, problem)
    }

    /// The present state.
    pub fn state(&self) -> Ref<'_, OperatorState> {
        self.state.borrow()
    }

    /// Reads what another process has written since, and returns whether that changes the state.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be used; the state stays as it is then. One that cannot be read
    /// at the moment is read at the next call, one with invalid content is not.
    pub fn refresh(&self) -> Result<bool, StoreError> {
        let Some(folder) = &self.folder else {
            return Ok(false);
        };
        let metadata = match fs::metadata(folder.join(STATE_FILE)) {
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
        let read = read_state(folder, &self.node);
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

    /// Changes the state for all processes of the node, starting from what any of them has written
    /// last, and returns the result of `change`. The change lasts once this returns.
    ///
    /// # Errors
    ///
    /// Returns why the change cannot be stored. Nothing has changed then, not even the state of this
    /// process.
    pub async fn change<T>(
        &self,
        change: impl FnOnce(&mut OperatorState) -> T,
    ) -> Result<T, StoreError> {
        let Some(folder) = &self.folder else {
            return Ok(change(&mut self.state.borrow_mut()));
        };
        let _lock = lock(&folder.join(LOCK_FILE))
            .await
            .map_err(|error| match error {
                LockError::Held => StoreError::Locked,
                LockError::Io(source) => StoreError::io(LOCK_FILE)(source),
            })?;
        let latest = match read_state(folder, &self.node) {
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
            self.replace(folder, &previous, &state).await?;
        }
        *self.state.borrow_mut() = state;
        Ok(result)
    }

    /// Whether a change may be tried that no operator waits for. It may not shortly after one that
    /// could not be written.
    pub fn may_write(&self) -> bool {
        self.write_failed_at
            .get()
            .is_none_or(|failed_at| failed_at.elapsed() >= WRITE_RETRY_INTERVAL)
    }

    /// Replaces the file. Syncing may take long and is done on a thread of its own.
    async fn replace(
        &self,
        folder: &Path,
        previous: &OperatorState,
        state: &OperatorState,
    ) -> Result<(), StoreError> {
        let previous_json = self.to_json(previous)?;
        let json = self.to_json(state)?;
        let folder = folder.to_owned();
        let replacing = tokio::task::spawn_blocking(move || {
            let written = write_file(&folder, &json);
            if written.is_err() {
                // The new file may be in place and not yet synced. A change that fails has to leave
                // what was there before.
                let _ = write_file(&folder, &previous_json);
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

    /// Whether another process of this node runs and has not been told to end, so that it accepts the
    /// connections to a shared listener.
    pub fn peer_process_serving(&self) -> bool {
        self.folder
            .as_ref()
            .is_some_and(|folder| self.presence.borrow_mut().peer_process_serving(folder))
    }

    /// Shows other processes of this node that this one has been told to end.
    pub fn stop_serving(&self) {
        self.presence.borrow_mut().stop_serving();
    }

    /// Whether another process of this node runs. Shows this process to the other for as long as it
    /// runs.
    pub fn peer_process_running(&self) -> bool {
        self.folder
            .as_ref()
            .is_some_and(|folder| self.presence.borrow_mut().peer_process_running(folder))
    }
}

/// Reads the state file, if there is one.
fn read_state(folder: &Path, node: &str) -> Result<Option<OperatorState>, StoreError> {
    let file = match File::open(folder.join(STATE_FILE)) {
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

/// Replaces the state file atomically, so that nobody reads half of it, and durably.
fn write_file(folder: &Path, json: &[u8]) -> io::Result<()> {
    let mut file = File::create(folder.join(NEW_STATE_FILE))?;
    file.write_all(json)?;
    file.sync_all()?;
    drop(file);
    fs::rename(folder.join(NEW_STATE_FILE), folder.join(STATE_FILE))?;
    File::open(folder)?.sync_all()
}

#[cfg(test)]
#[path = "store_tests.rs"]
mod tests;
