//! Offsets of the fields of event frames, in bytes from the start of the header, the record, the
//! endpoint's entry or the load report. Durations and times are in nanoseconds. A reference to data
//! in the tail is an offset in the tail followed by a length.

/// The header of an event frame.
pub mod header {
    /// Length of the whole frame in bytes, the header included.
    pub const FRAME_LENGTH: usize = 0;
    /// Time on the simulator's clock at which the frame's events happen.
    pub const NOW: usize = 4;
    /// Number of records in the frame.
    pub const RECORD_COUNT: usize = 12;
}

/// The field that all records have.
pub mod record {
    /// Code of the record's kind, one of [`event`](super::super::codes::event).
    pub const CODE: usize = 0;
}

/// A record that names the instance that the records after it concern.
pub mod switch_to {
    /// Id of the instance.
    pub const INSTANCE: usize = 1;
}

/// A record that starts an instance.
pub mod init {
    /// Seed of the instance's random numbers.
    pub const SEED: usize = 1;
    /// Reference to its JSON settings in the tail, their length in bytes.
    pub const SETTINGS: usize = 9;
}

/// A message from another instance.
pub mod peer_message {
    /// Reference to the message in the tail, its length in bytes.
    pub const MESSAGE: usize = 5;
}

/// An endpoint list or changes to it, with its entries in the frame's tail.
pub mod endpoint_list {
    /// Kind of the list update.
    pub const UPDATE: usize = 1;
    /// Reference to its entries in the tail, with their number as the length.
    pub const ENTRIES: usize = 10;
}

/// An entry of an endpoint list.
pub mod endpoint {
    /// Id of the backend.
    pub const BACKEND: usize = 0;
    /// Position of its zone.
    pub const ZONE: usize = 4;
    /// Position of its machine type.
    pub const MACHINE_TYPE: usize = 5;
    /// Id of its cell.
    pub const CELL: usize = 6;
    /// Code of its state.
    pub const STATE: usize = 8;
    /// Its weight, a 32-bit floating-point number.
    pub const WEIGHT: usize = 9;
    /// When it started; 0 if that is long ago.
    pub const STARTED_AT: usize = 13;
}

/// The field that all records about a request have.
pub mod request {
    /// Id of the request.
    pub const ID: usize = 1;
}

/// A request's arrival: its tenant, class, remaining time and further properties.
pub mod arrival {
    /// Position of its tenant.
    pub const TENANT: usize = 9;
    /// Position of its class.
    pub const CLASS: usize = 11;
    /// Time until its client stops waiting.
    pub const REMAINING: usize = 20;
    /// Its work, which counts only if [`FLAGS`] say that it is given.
    pub const WORK: usize = 28;
    /// Bits that say which of the other fields are given; see
    /// [`WORK_GIVEN`](super::super::codes::WORK_GIVEN).
    pub const FLAGS: usize = 36;
}

/// The start of a response.
pub mod response_started {
    /// Number of the attempt within the request.
    pub const ATTEMPT: usize = 9;
    /// Time from the attempt's start to the start of the response.
    pub const LATENCY: usize = 14;
}

/// The end of an attempt.
pub mod attempt_ended {
    /// Number of the attempt within the request.
    pub const ATTEMPT: usize = 9;
    /// Id of its backend.
    pub const BACKEND: usize = 10;
    /// Code of its outcome.
    pub const OUTCOME: usize = 14;
    /// Time from its start to its end.
    pub const LATENCY: usize = 16;
    /// Whether its request is closed: 0 if not, any other value if so.
    pub const REQUEST_CLOSED: usize = 24;
    /// The load report that came with the response.
    pub const LOAD_REPORT: usize = 25;
}

/// The firing of a timer.
pub mod timer_fired {
    /// Id of the timer.
    pub const TIMER: usize = 1;
}

/// The end of a load probe.
pub mod load_probe_ended {
    /// Time from sending the probe to its end.
    pub const LATENCY: usize = 1;
    /// Id of its backend.
    pub const BACKEND: usize = 9;
    /// Code of its outcome.
    pub const OUTCOME: usize = 13;
    /// The load report that came with the answer.
    pub const LOAD_REPORT: usize = 15;
}

/// A load report within a record.
pub mod load_report {
    /// Number of its values; 0 if there is no report.
    pub const COUNT: usize = 0;
    /// The first of its values, each a 32-bit floating-point number.
    pub const VALUES: usize = 1;
}
