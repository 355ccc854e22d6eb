//! What outlives a process: the listener that the platform holds for it, and the operators' word,
//! kept in one file for the process that comes next. While two processes of a node live, both go by
//! that file.

use crate::transient_errors::retry_at_start;
use serde::{Deserialize, Serialize};
use socket2::Socket;
use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, TryLockError};
use std::io::{self, Read, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime};

/// The form of the file.
const VERSION: u32 = 1;
const KEPT: &str = "birchswitch.json";
const NEXT: &str = "birchswitch.json.next";
const LOCK: &str = "birchswitch.lock";
/// Held, one each, by the processes of a node that live.
const PRESENCE: [&str; 2] = ["birchswitch.0", "birchswitch.1"];
/// Most that is read of the file: far more than any fleet's names take.
const MOST_KEPT: u64 = 1 << 20;
/// A change that nobody waits for is not tried again sooner than this after one that failed.
const WRITE_AGAIN: Duration = Duration::from_secs(1);
/// The lock is held for an instant at a time. It is asked for again after this ...
const LOCK_AGAIN: Duration = Duration::from_millis(2);
/// ... and so often: a caller waits for longer.
const LOCK_TRIES: usize = 200;

/// Why an inherited descriptor is of no use.
#[derive(Debug, thiserror::Error)]
pub enum AdoptError {
    /// It is no number of a descriptor that may be handed over.
    #[error("GW_LISTEN_FD {0:?} is not a descriptor's number above 2")]
    Number(String),
    /// There is no open socket of that number.
    #[error("descriptor {0} of GW_LISTEN_FD is no socket: {1}")]
    NoSocket(RawFd, io::Error),
    /// Clients could not connect there.
    #[error("descriptor {0} of GW_LISTEN_FD does not listen")]
    Deaf(RawFd),
    /// It is another listener.
    #[error("descriptor {0} of GW_LISTEN_FD does not listen on {1}")]
    Elsewhere(RawFd, SocketAddr),
}

/// Takes over the listening socket that `number` names, if it listens on `address`.
pub fn adopt(number: &str, address: SocketAddr) -> Result<TcpListener, AdoptError> {
    let fd: RawFd = number
        .parse()
        .ok()
        .filter(|fd| *fd > 2)
        .ok_or(AdoptError::Number(number.to_owned()))?;
    // SAFETY: The platform opened this descriptor for the process, says so by the variable, and
    // nothing else here uses or closes it. Whether it is open is asked next; one that is not is
    // given back below, never closed.
    #[allow(unsafe_code)]
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(fd) });
    let listens = socket
        .is_listener()
        .map_err(|error| AdoptError::NoSocket(fd, error));
    let checked = listens.and_then(|listens| {
        let at = socket.local_addr().ok().and_then(|a| a.as_socket());
        match at {
            _ if !listens => Err(AdoptError::Deaf(fd)),
            Some(at) if at == address => Ok(()),
            _ => Err(AdoptError::Elsewhere(fd, address)),
        }
    });
    match checked.and_then(|()| {
        socket
            .set_nonblocking(true)
            .map_err(|e| AdoptError::NoSocket(fd, e))
    }) {
        Ok(()) => Ok(socket.into()),
        Err(error) => {
            std::mem::forget(socket);
            Err(error)
        }
    }
}

/// What operators have said and not taken back.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorState {
    /// The node is drained.
    pub draining: bool,
    /// Backends that are left out, by name.
    pub out: BTreeSet<String>,
    /// Others that were put back into use and may be cold still, with a marker of the call: for the
    /// rules they have started then. By the marker a process sees a call that it has not heard of;
    /// it tells no time, since clocks may be stepped.
    pub returned: BTreeMap<String, u64>,
}

impl OperatorState {
    /// A backend is put back into use, by a call that differs from those before.
    pub fn mark_returned(&mut self, name: &str, wall: SystemTime) {
        let unix = wall
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let marker = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
        let before = self
            .returned
            .get(name)
            .map_or(0, |before| before.wrapping_add(1));
        self.returned.insert(name.to_owned(), marker.max(before));
    }
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredState {
    version: u32,
    node: String,
    word: OperatorState,
}

/// Why the operators' word can't be read or kept.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The system's word.
    #[error("{0}: {1}")]
    Io(&'static str, io::Error),
    /// Another process holds the lock.
    #[error("{LOCK} is held")]
    Held,
    /// No file of this program's, or not whole.
    #[error("{KEPT} can't be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// Another version's or another node's.
    #[error("{KEPT} is of version {0} and node {1:?}")]
    Foreign(u32, String),
}

/// Tells one state of the file from the next.
type Stamp = (u64, u64, Option<SystemTime>);

/// Keeps the operators' word, in a file if there is a place for one.
pub struct OperatorStateStore {
    place: Option<PathBuf>,
    node: String,
    word: RefCell<OperatorState>,
    seen: Cell<Option<Stamp>>,
    /// When a change could not be written last, unless one was since.
    failed: Cell<Option<Instant>>,
    presence: RefCell<Option<(usize, File)>>,
}

impl OperatorStateStore {
    /// With what the process before has left in `place`; also says what of that is no good.
    pub fn open(place: Option<PathBuf>, node: &str) -> (Self, Option<StoreError>) {
        let (word, presence) = (RefCell::default(), RefCell::default());
        let (seen, failed) = (Cell::new(None), Cell::new(None));
        let keeper = OperatorStateStore {
            place,
            node: node.to_owned(),
            word,
            seen,
            failed,
            presence,
        };
        // What was taken on is owed still, so that a failure that may pass is waited for.
        let looked = retry_at_start(KEPT, || match keeper.look() {
            Err(StoreError::Io(_, error)) => Err(error),
            looked => Ok(looked),
        });
        let problem = match looked {
            Ok(looked) => looked.err(),
            Err(error) => Some(StoreError::Io(KEPT, error)),
        };
        (keeper, problem)
    }

    /// What holds at present.
    pub fn word(&self) -> Ref<'_, OperatorState> {
        self.word.borrow()
    }

    /// Takes in what another process has written since. A file that is no good or gone leaves
    /// things as they are; one that can't be read for a moment is read at the next look.
    pub fn look(&self) -> Result<bool, StoreError> {
        let Some(place) = &self.place else {
            return Ok(false);
        };
        let found = match fs::metadata(place.join(KEPT)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(false),
            found => found.map_err(|error| StoreError::Io(KEPT, error))?,
        };
        let stamp = Some((found.ino(), found.len(), found.modified().ok()));
        if self.seen.get() == stamp {
            return Ok(false);
        }
        let word = read(place, &self.node);
        if !matches!(word, Err(StoreError::Io(..))) {
            self.seen.set(stamp);
        }
        let word = word?;
        let changed = word.as_ref().is_some_and(|w| *w != *self.word.borrow());
        word.into_iter().for_each(|w| *self.word.borrow_mut() = w);
        Ok(changed)
    }

    /// Changes it, from what any process has written last, for all of them. Once this succeeds it
    /// lasts; where it fails nothing has changed, not even what this process goes by.
    pub async fn change<T>(
        &self,
        change: impl FnOnce(&mut OperatorState) -> T,
    ) -> Result<T, StoreError> {
        let Some(place) = &self.place else {
            return Ok(change(&mut self.word.borrow_mut()));
        };
        let _lock = lock(place).await?;
        let latest = match read(place, &self.node) {
            Ok(word) => word,
            // It may hold what another process was told: writing over it would take that back.
            Err(error @ StoreError::Io(..)) => return Err(error),
            // What is no good is replaced: it was logged when it was seen first.
            Err(_) => None,
        };
        let mut word = latest.unwrap_or_else(|| self.word.borrow().clone());
        let before = word.clone();
        let said = change(&mut word);
        if word != before {
            self.replace(place, &before, &word).await?;
        }
        *self.word.borrow_mut() = word;
        Ok(said)
    }

    /// Whether a change may be written, or a failed one is too recent. For changes that nobody
    /// waits for.
    pub fn may_write(&self) -> bool {
        self.failed
            .get()
            .is_none_or(|at| at.elapsed() >= WRITE_AGAIN)
    }

    /// Replaces the file. Syncing may take long, so that it is done beside the loop.
    async fn replace(
        &self,
        place: &Path,
        before: &OperatorState,
        word: &OperatorState,
    ) -> Result<(), StoreError> {
        let text = |word: &OperatorState| {
            serde_json::to_vec(&StoredState {
                version: VERSION,
                node: self.node.clone(),
                word: word.clone(),
            })
        };
        let (old, new, place) = (text(before)?, text(word)?, place.to_owned());
        let replacing = tokio::task::spawn_blocking(move || {
            let written = write(&place, &new);
            if written.is_err() {
                // The file may be the new one already, and then not last: a no has to leave what
                // was there.
                let _ = write(&place, &old);
            }
            written
        });
        let written = replacing
            .await
            .unwrap_or_else(|panicked| Err(io::Error::other(panicked)));
        self.failed.set(written.is_err().then(Instant::now));
        written.map_err(|error| StoreError::Io(KEPT, error))
    }

    /// Whether another process of this node lives. Holds this one's presence, which ends with the
    /// process.
    pub fn accompanied(&self) -> bool {
        let Some(place) = &self.place else {
            return false;
        };
        let mut presence = self.presence.borrow_mut();
        let free = |at: &usize| hold(&place.join(PRESENCE[*at])).map(|file| (*at, file));
        if presence.is_none() {
            *presence = (0..PRESENCE.len()).find_map(|at| free(&at));
        }
        // One that can be held is let go at once.
        presence.as_ref().is_none_or(|own| {
            (0..PRESENCE.len())
                .filter(|at| *at != own.0)
                .any(|at| free(&at).is_none())
        })
    }
}

/// Locks a file that this process is to hold. None: it can't be had.
fn hold(path: &Path) -> Option<File> {
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)
        .ok()?;
    file.try_lock().ok().map(|()| file)
}

async fn lock(place: &Path) -> Result<File, StoreError> {
    let failed = |error| StoreError::Io(LOCK, error);
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(place.join(LOCK));
    let file = file.map_err(failed)?;
    for _ in 0..LOCK_TRIES {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(TryLockError::Error(error)) => return Err(failed(error)),
            Err(TryLockError::WouldBlock) => tokio::time::sleep(LOCK_AGAIN).await,
        }
    }
    Err(StoreError::Held)
}

/// What the file says, if there is one.
fn read(place: &Path, node: &str) -> Result<Option<OperatorState>, StoreError> {
    let failed = |error| StoreError::Io(KEPT, error);
    let file = match File::open(place.join(KEPT)) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        file => file.map_err(failed)?,
    };
    let mut text = Vec::new();
    file.take(MOST_KEPT)
        .read_to_end(&mut text)
        .map_err(failed)?;
    let kept: StoredState = serde_json::from_slice(&text)?;
    if kept.version == VERSION && kept.node == node {
        Ok(Some(kept.word))
    } else {
        Err(StoreError::Foreign(kept.version, kept.node))
    }
}

/// Replaces the file at one blow, so that nobody reads half of it, and for good: a machine that
/// goes down right after has the new one.
fn write(place: &Path, text: &[u8]) -> io::Result<()> {
    let mut next = File::create(place.join(NEXT))?;
    next.write_all(text)?;
    next.sync_all()?;
    drop(next);
    fs::rename(place.join(NEXT), place.join(KEPT))?;
    File::open(place)?.sync_all()
}

#[cfg(test)]
#[path = "store_tests.rs"]
mod tests;
