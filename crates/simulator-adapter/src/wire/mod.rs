//! The simulator's binary frames: big-endian records of fixed size and one shared tail.
//!
//! An event frame comes from the simulator and an action frame answers it. What has no fixed size
//! stands in the frame's tail, and the record holds its offset and length there.

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
/// Longest frame that is read, in bytes: far above any real one, so that a broken length fails fast.
pub const MAX_FRAME_BYTES: usize = 1 << 30;
/// Most figures that a load report holds.
const MAX_LOAD_REPORT_FIELDS: usize = 4;

/// One of the simulated nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct InstanceId(pub u32);

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
