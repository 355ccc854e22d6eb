//! How a call of this library fails.

use crate::control::fault_control;
use crate::random::random;
use fault_injection::SystemCall;
use libc::c_int;

/// The error number with which this call fails, if it does.
pub(crate) fn draw_failure(call: SystemCall) -> Option<c_int> {
    let control = fault_control()?;
    control.faults(call).draw(|| random(control))
}

/// Sets the error number, and returns what a failed call returns.
pub(crate) fn fail(number: c_int) -> c_int {
    // SAFETY: The pointer is to the calling thread's own error number.
    unsafe { *libc::__errno_location() = number };
    -1
}

/// Defines functions that fail as the control file directs, and otherwise call the C library's.
macro_rules! failing_functions {
    ($($call:ident: $name:ident($($argument:ident: $kind:ty),*);)*) => {$(
        /// The C library's function of this name, with failures.
        ///
        /// # Safety
        ///
        /// As for the C library's function.
        #[no_mangle]
        pub unsafe extern "C" fn $name($($argument: $kind),*) -> libc::c_int {
            match $crate::failures::draw_failure(fault_injection::SystemCall::$call) {
                Some(number) => $crate::failures::fail(number),
                None => $crate::next_symbol::$name($($argument),*),
            }
        }
    )*};
}
pub(crate) use failing_functions;
