//! A library to preload into a process under test. It stands in for some of the C library's functions
//! and makes them fail, pause or give another time, as the control file directs that the environment
//! variable [`fault_injection::CONTROL_FILE_VARIABLE`] names. Without one it changes nothing.
//!
//! Only TCP sockets and regular files have faults of reads and writes: the runtime's own pipes, events
//! and signals, and the log, never fail.

#![allow(unsafe_code)] // Stands in for functions of the C library.

mod clock;
mod control;
mod event_loop;
mod failures;
mod files;
mod next_symbol;
mod random;
mod sockets;
