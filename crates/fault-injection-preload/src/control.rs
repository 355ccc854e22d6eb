//! The process's side of the shared memory.

use fault_injection::{FaultControl, CONTROL_FILE_VARIABLE};
use libc::c_int;
use std::ffi::{CStr, CString};
use std::sync::OnceLock;

/// The control file, mapped at its first use and until the process ends. `None`: there is none, and
/// nothing is changed.
pub(crate) fn fault_control() -> Option<&'static FaultControl> {
    static CONTROL: OnceLock<Option<&'static FaultControl>> = OnceLock::new();
    *CONTROL.get_or_init(|| {
        let path = std::env::var(CONTROL_FILE_VARIABLE).ok()?;
        map(&CString::new(path).ok()?)
    })
}

fn map(path: &CStr) -> Option<&'static FaultControl> {
    // SAFETY: The system calls are made directly, so that no function of this library is entered
    // again. The file holds a `FaultControl`, whose fields are atomic; the mapping is never undone.
    unsafe {
        let file = libc::syscall(
            libc::SYS_openat,
            libc::AT_FDCWD,
            path.as_ptr(),
            libc::O_RDWR | libc::O_CLOEXEC,
        );
        if file < 0 {
            return None;
        }
        let memory = libc::mmap(
            std::ptr::null_mut(),
            size_of::<FaultControl>(),
            libc::PROT_READ | libc::PROT_WRITE,
            libc::MAP_SHARED,
            file as c_int,
            0,
        );
        libc::syscall(libc::SYS_close, file);
        (memory != libc::MAP_FAILED).then(|| &*memory.cast::<FaultControl>())
    }
}
