//! The mapping of the shared memory in the process under test.

use fault_injection::{FaultControl, CONTROL_FILE_VARIABLE};
use libc::c_int;
use std::ffi::{CStr, CString};
use std::sync::OnceLock;

/// Returns the control file's contents, mapped at the first call and until the process ends.
///
/// Returns `None` if the environment names no control file or it cannot be mapped; the library then
/// changes nothing.
pub(crate) fn fault_control() -> Option<&'static FaultControl> {
    static CONTROL: OnceLock<Option<&'static FaultControl>> = OnceLock::new();
    *CONTROL.get_or_init(|| {
        let path = std::env::var(CONTROL_FILE_VARIABLE).ok()?;
        map(&CString::new(path).ok()?)
    })
}

/// Maps the control file at `path`. Returns `None` if it cannot be opened or mapped.
fn map(path: &CStr) -> Option<&'static FaultControl> {
    // SAFETY: The file holds a `FaultControl`, whose fields are atomic, and the mapping is never
    // removed. The file is opened and closed by direct system calls, so that none of this library's
    // functions is entered again.
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
