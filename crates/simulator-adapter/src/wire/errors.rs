//! What can be wrong with a frame, and where.

use std::fmt;

/// What is wrong with a frame, and where. Records are counted from 0.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum WireError {
    /// The header's length cannot be right.
    #[error("frame header: length {0} is impossible")]
    ImpossibleLength(usize),
    /// The records do not fit into the frame.
    #[error("frame header: {count} records do not fit into {frame_bytes} bytes")]
    RecordsExceedFrame {
        /// Records announced.
        count: usize,
        /// Size of the frame, in bytes.
        frame_bytes: usize,
    },
    /// The input ended inside a frame.
    #[error("frame: input ends after {read} of {announced} bytes")]
    Truncated {
        /// Bytes read.
        read: usize,
        /// Bytes announced.
        announced: usize,
    },
    /// No such event.
    #[error("record {record}: unknown event code {code}")]
    UnknownEvent {
        /// Position of the record.
        record: usize,
        /// Its code.
        code: u8,
    },
    /// A field holds a value that has no meaning.
    #[error("record {record}: {field} {value} is unknown")]
    UnknownValue {
        /// Position of the record.
        record: usize,
        /// Its field.
        field: WireField,
        /// What it holds.
        value: u64,
    },
    /// A field points outside the tail.
    #[error("record {record}: {field} reaches outside the tail")]
    OutsideTail {
        /// Position of the record.
        record: usize,
        /// Its field.
        field: WireField,
    },
}

/// A field that can be wrong; displayed by its name on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireField {
    /// The settings of a started instance.
    Settings,
    /// A peer's message.
    PeerMessage,
    /// The endpoints of a list.
    Endpoints,
    /// What kind of list update it is.
    ListUpdate,
    /// An endpoint's state.
    EndpointState,
    /// An attempt's outcome.
    Outcome,
    /// The number of figures in a load report.
    LoadReport,
}

impl fmt::Display for WireField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WireField::Settings => "config",
            WireField::PeerMessage => "content",
            WireField::Endpoints => "entries",
            WireField::ListUpdate => "kind",
            WireField::EndpointState => "mode",
            WireField::Outcome => "how",
            WireField::LoadReport => "server_stats",
        })
    }
}
