//! Errors in event frames, which name the record and the field at fault.

use std::fmt;

/// An error in an event frame. Records are counted from 0.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum WireError {
    /// The announced length is below that of a header or above the largest accepted one, or the
    /// frame has another length than its header announces. Holds the announced or the actual length
    /// in bytes.
    #[error("frame header: invalid length {0}")]
    InvalidLength(usize),
    /// The announced records do not fit into the frame.
    #[error("frame header: {count} records do not fit into {frame_bytes} bytes")]
    RecordsExceedFrame {
        /// Number of records that the header announces.
        count: usize,
        /// Size of the frame, in bytes.
        frame_bytes: usize,
    },
    /// The input ended inside a frame or its header.
    #[error("frame: input ended after {read} of {announced} bytes")]
    Truncated {
        /// Number of bytes of the frame that were read.
        read: usize,
        /// Length of the frame in bytes, or of its header if that is incomplete.
        announced: usize,
    },
    /// The code of a record is not that of an event.
    #[error("record {record}: unknown event code {code}")]
    UnknownEvent {
        /// Position of the record.
        record: usize,
        /// The record's first byte, which is no known event code.
        code: u8,
    },
    /// A field holds a value without a meaning, or the number of values in a load report is too
    /// large.
    #[error("record {record}: field {field} has invalid value {value}")]
    UnknownValue {
        /// Position of the record.
        record: usize,
        /// The field at fault.
        field: WireField,
        /// The value that the field holds.
        value: u64,
    },
    /// A field refers to bytes that are not all in the tail.
    #[error("record {record}: field {field} reaches outside the tail")]
    OutsideTail {
        /// Position of the record.
        record: usize,
        /// The field that holds the offset and the length.
        field: WireField,
    },
}

/// A field that can be at fault. It is displayed by the wire protocol's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireField {
    /// The reference to the settings with which an instance starts, `config`.
    Settings,
    /// The reference to a message from another instance, `content`.
    PeerMessage,
    /// The reference to the entries of an endpoint list, `entries`.
    Endpoints,
    /// The kind of a list update, `kind`.
    ListUpdate,
    /// The state of an endpoint, `mode`.
    EndpointState,
    /// The outcome of an attempt or a load probe, `how`.
    Outcome,
    /// The number of values in a load report, `server_stats`.
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
