//! A library to load into a process under test with `LD_PRELOAD`. It replaces some of the C
//! library's functions and makes them fail, pause or return a shifted time, as configured in the
//! control file whose path is in the environment variable
//! [`fault_injection::CONTROL_FILE_VARIABLE`]. Without a control file it changes nothing.
//!
//! Reads and writes have faults only on TCP sockets and regular files: those on the runtime's own
//! pipes, event and signal descriptors and on the log never fail.

#![allow(unsafe_code)] // Replaces functions of the C library.

mod clock;
mod control;
mod event_loop;
mod failures;
mod files;
mod next_symbol;
mod random;
mod sockets;
