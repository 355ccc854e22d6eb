//! Prevents child processes from holding sockets open that a test closes.
//!
//! A child process starts with copies of all descriptors of this process. Those of sockets are
//! closed when the child executes its program (close-on-exec), which may not have happened yet when
//! spawning returns: the parent continues as soon as the child has its new memory. A socket that
//! the test closes before then stays open for its peer, and a listener even accepts connections.

use std::io;
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// How often a spawned process is checked for whether it runs its own program yet.
const EXEC_POLL_INTERVAL: Duration = Duration::from_micros(100);
/// Part of the path of the C library, by which it is found among a process's mappings.
const C_LIBRARY: &str = "/libc.so";

/// Held while a process is spawned, and while a socket is closed.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Locks [`SPAWN_LOCK`], also after a test panicked while it held it.
fn lock() -> MutexGuard<'static, ()> {
    SPAWN_LOCK
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Starts a process by `spawn`, and returns once it holds no copies of this process's sockets.
/// `process_id` returns the process id of what `spawn` returns; `None` skips the wait.
///
/// # Errors
///
/// Returns the error of `spawn`.
pub fn spawn_locked<C>(
    spawn: impl FnOnce() -> io::Result<C>,
    process_id: impl FnOnce(&C) -> Option<u32>,
) -> io::Result<C> {
    let _guard = lock();
    let child = spawn()?;
    if let Some(id) = process_id(&child) {
        wait_for_exec(id);
    }
    Ok(child)
}

/// Waits until a child process runs code of its own program, or has exited.
fn wait_for_exec(process_id: u32) {
    while !runs_own_program(process_id) {
        std::thread::sleep(EXEC_POLL_INTERVAL);
    }
}

/// Returns whether a child process runs code of its own program, or has exited.
///
/// At first the child shares this program's memory. The kernel then maps the new program and the
/// dynamic linker, and closes descriptors. The C library is mapped by the dynamic linker, which
/// runs only after that: once it is mapped, the descriptors are closed.
fn runs_own_program(process_id: u32) -> bool {
    let folder = PathBuf::from(format!("/proc/{process_id}"));
    let (Ok(program), Ok(mappings)) = (
        folder.join("exe").read_link(),
        std::fs::read_to_string(folder.join("maps")),
    ) else {
        return true;
    };
    let test_program = std::env::current_exe().expect("the path of the test program");
    program != test_program && mappings.contains(C_LIBRARY)
}

/// Owns a socket, or a value that holds one, and closes it only while no process is being spawned.
/// The value is `None` only while it is dropped.
pub struct CloseGuarded<T>(pub Option<T>);

impl<T> Deref for CloseGuarded<T> {
    type Target = T;
    fn deref(&self) -> &T {
        self.0
            .as_ref()
            .expect("the value is present until it is dropped")
    }
}

impl<T> DerefMut for CloseGuarded<T> {
    fn deref_mut(&mut self) -> &mut T {
        self.0
            .as_mut()
            .expect("the value is present until it is dropped")
    }
}

impl<T> Drop for CloseGuarded<T> {
    fn drop(&mut self) {
        let _guard = lock();
        self.0 = None;
    }
}
