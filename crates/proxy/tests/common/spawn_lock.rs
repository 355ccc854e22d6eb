//! Keeps child processes from holding sockets open that a test closes.
//!
//! A child begins with copies of all descriptors of this process. It gives those of sockets up when
//! it executes its program (close-on-exec), which is not done yet when spawning returns: the parent
//! goes on as soon as the child has its new memory. A socket closed before then stays open for its
//! peer, and a listener even accepts connections.

use std::io;
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// How often a started process is asked whether it runs.
const EXEC_POLL_INTERVAL: Duration = Duration::from_micros(100);
/// Part of the C library's file name.
const C_LIBRARY: &str = "/libc.so";

/// Held while a process starts, and while a socket is closed.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

fn lock() -> MutexGuard<'static, ()> {
    SPAWN_LOCK
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Starts a process by `spawn`, and returns once that holds no copies of this process's sockets.
/// `process_id` tells the id of what `spawn` returns.
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

/// Waits until a child runs code of its own program, or has ended.
fn wait_for_exec(process_id: u32) {
    while !runs_own_program(process_id) {
        std::thread::sleep(EXEC_POLL_INTERVAL);
    }
}

/// Whether a child runs code of its own program, or has ended. To begin with it shares this
/// program's memory. The system then maps the program and the dynamic linker, and closes
/// descriptors; the C library is mapped by the dynamic linker, which runs after that.
fn runs_own_program(process_id: u32) -> bool {
    let folder = PathBuf::from(format!("/proc/{process_id}"));
    let (Ok(program), Ok(mappings)) = (
        folder.join("exe").read_link(),
        std::fs::read_to_string(folder.join("maps")),
    ) else {
        return true;
    };
    let own = std::env::current_exe().expect("the test's own program");
    program != own && mappings.contains(C_LIBRARY)
}

/// A socket, or its owner, that is closed only while no process is being started.
pub struct CloseGuarded<T>(pub Option<T>);

impl<T> Deref for CloseGuarded<T> {
    type Target = T;
    fn deref(&self) -> &T {
        self.0.as_ref().expect("taken only when dropped")
    }
}

impl<T> DerefMut for CloseGuarded<T> {
    fn deref_mut(&mut self) -> &mut T {
        self.0.as_mut().expect("taken only when dropped")
    }
}

impl<T> Drop for CloseGuarded<T> {
    fn drop(&mut self) {
        let _guard = lock();
        self.0 = None;
    }
}
