//! The simulator's binary frames: a header, records of fixed size and a tail that the records
//! share. Numbers are big-endian.
//!
//! The simulator sends event frames, and an action frame answers each of them. Data of variable
//! size is in the frame's tail; the record holds its offset in the tail and its length.

mod actions;
mod codes;
mod errors;
mod event_layout;
mod events;
mod field_reader;

pub use actions::ActionFrame;
pub use errors::{WireError, WireField};
pub use events::{frame_length, EventFrame, EventRecord};

use std::fmt;

/// Size of an event frame's header, in bytes.
pub const EVENT_HEADER_BYTES: usize = 16;
/// Size of an event record, in bytes.
pub const EVENT_RECORD_BYTES: usize = 48;
/// Size of an action frame's header, in bytes.
pub const ACTION_HEADER_BYTES: usize = 8;
/// Size of an action record, in bytes.
pub const ACTION_RECORD_BYTES: usize = 24;
/// Size of an endpoint's entry in the tail, in bytes.
pub const ENDPOINT_BYTES: usize = 21;
/// Largest accepted length of an event frame, in bytes. It is far above that of any real frame, so
/// that a corrupt length fails immediately.
pub const MAX_FRAME_BYTES: usize = 1 << 30;
/// Largest number of values in a load report.
const MAX_LOAD_REPORT_FIELDS: usize = 4;

/// Identifies an instance, which is one of the simulated nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct InstanceId(pub u32);

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
