//! Where the fields of event frames lie, in bytes from the start of the header, the record or the entry.

/// The header of a frame.
pub mod header {
    /// Length of the whole frame.
    pub const FRAME_LENGTH: usize = 0;
    /// The simulator's clock.
    pub const NOW: usize = 4;
    /// Number of records.
    pub const RECORD_COUNT: usize = 12;
}

/// Any record.
pub mod record {
    /// The code of its kind.
    pub const CODE: usize = 0;
}

/// A switch to another instance.
pub mod switch_to {
    /// The instance.
    pub const INSTANCE: usize = 1;
}

/// An instance's start.
pub mod init {
    /// Seed of its random numbers.
    pub const SEED: usize = 1;
    /// Where its settings lie in the tail.
    pub const SETTINGS: usize = 9;
}

/// A message from a peer.
pub mod peer_message {
    /// Where it lies in the tail.
    pub const MESSAGE: usize = 5;
}

/// An endpoint list.
pub mod endpoint_list {
    /// What the list holds.
    pub const UPDATE: usize = 1;
    /// Where its entries lie in the tail.
    pub const ENTRIES: usize = 10;
}

/// An entry of an endpoint list.
pub mod endpoint {
    /// The backend.
    pub const BACKEND: usize = 0;
    /// Its zone.
    pub const ZONE: usize = 4;
    /// Its machine type.
    pub const MACHINE_TYPE: usize = 5;
    /// Its cell.
    pub const CELL: usize = 6;
    /// Its state.
    pub const STATE: usize = 8;
    /// Its weight.
    pub const WEIGHT: usize = 9;
    /// When it started, or 0.
    pub const STARTED_AT: usize = 13;
}

/// Any record about a request.
pub mod request {
    /// The request.
    pub const ID: usize = 1;
}

/// A request's arrival.
pub mod arrival {
    /// Its tenant.
    pub const TENANT: usize = 9;
    /// Its class.
    pub const CLASS: usize = 11;
    /// The time left to its client.
    pub const REMAINING: usize = 20;
    /// Its work, where that is given.
    pub const WORK: usize = 28;
    /// What is given.
    pub const FLAGS: usize = 36;
}

/// The start of a response.
pub mod response_started {
    /// The attempt.
    pub const ATTEMPT: usize = 9;
    /// Time since the attempt's start.
    pub const LATENCY: usize = 14;
}

/// The end of an attempt.
pub mod attempt_ended {
    /// The attempt.
    pub const ATTEMPT: usize = 9;
    /// Its backend.
    pub const BACKEND: usize = 10;
    /// Its outcome.
    pub const OUTCOME: usize = 14;
    /// Time since its start.
    pub const LATENCY: usize = 16;
    /// Whether its request is closed.
    pub const REQUEST_CLOSED: usize = 24;
    /// The load report that came along.
    pub const LOAD_REPORT: usize = 25;
}

/// A timer.
pub mod timer_fired {
    /// The timer.
    pub const TIMER: usize = 1;
}

/// The end of a load probe.
pub mod load_probe_ended {
    /// Time since its start.
    pub const LATENCY: usize = 1;
    /// Its backend.
    pub const BACKEND: usize = 9;
    /// Its outcome.
    pub const OUTCOME: usize = 13;
    /// The load report that came along.
    pub const LOAD_REPORT: usize = 15;
}

/// A load report within a record.
pub mod load_report {
    /// Number of its figures.
    pub const COUNT: usize = 0;
    /// The first of its figures.
    pub const FIGURES: usize = 1;
}
