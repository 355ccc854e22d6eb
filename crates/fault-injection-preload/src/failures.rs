//! Failures of the replaced functions.

use crate::control::fault_control;
use crate::random::random;
use fault_injection::SystemCall;
use libc::c_int;

/// Decides whether this call fails. Returns the error number to fail with, or `None` if the call
/// should be carried out or there is no control file.
pub(crate) fn draw_failure(call: SystemCall) -> Option<c_int> {
    let control = fault_control()?;
    control.faults(call).draw(|| random(control))
}

/// Sets the calling thread's `errno` and returns -1, the result of a failed call.
pub(crate) fn fail(errno: c_int) -> c_int {
    // SAFETY: The pointer is to the calling thread's own `errno`.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Defines replacements of C library functions. Each fails if [`draw_failure`] returns an error
/// number for the given [`SystemCall`], and otherwise calls the C library's function.
macro_rules! failing_functions {
    ($($call:ident: $name:ident($($argument:ident: $argument_type:ty),*);)*) => {$(
        /// Replaces the C library's function of the same name. Injects failures.
        ///
        /// # Safety
        ///
        /// The caller must meet the requirements of the C library's function.
        #[no_mangle]
        pub unsafe extern "C" fn $name($($argument: $argument_type),*) -> libc::c_int {
            match $crate::failures::draw_failure(fault_injection::SystemCall::$call) {
                Some(errno) => $crate::failures::fail(errno),
                None => $crate::next_symbol::$name($($argument),*),
            }
        }
    )*};
}
pub(crate) use failing_functions;
