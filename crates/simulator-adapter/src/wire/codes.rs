//! The codes of records and of the values in them, with the wire's name where it differs.

/// Codes of event records.
pub(super) mod event {
    /// `membership`.
    pub(in crate::wire) const ENDPOINT_LIST: u8 = 16;
    /// `wake`.
    pub(in crate::wire) const TIMER_FIRED: u8 = 17;
    pub(in crate::wire) const POWER_OFF: u8 = 18;
    /// `knock`.
    pub(in crate::wire) const REQUEST_ARRIVED: u8 = 19;
    /// `probe_result`.
    pub(in crate::wire) const LOAD_PROBE_ENDED: u8 = 20;
    /// `verdict`.
    pub(in crate::wire) const ATTEMPT_ENDED: u8 = 21;
    /// `timed_out_client`.
    pub(in crate::wire) const CLIENT_DISCONNECTED: u8 = 22;
    /// `note_from`.
    pub(in crate::wire) const PEER_MESSAGE: u8 = 23;
    pub(in crate::wire) const INIT: u8 = 24;
    /// `begun`.
    pub(in crate::wire) const RESPONSE_STARTED: u8 = 25;
    pub(in crate::wire) const SWITCH_TO: u8 = 26;
}

/// Codes of action records.
pub(super) mod action {
    /// `give_in`.
    pub(in crate::wire) const DECISION_FAILURE: u8 = 18;
    /// `retract`.
    pub(in crate::wire) const CANCEL_ATTEMPT: u8 = 19;
    /// `keep_informed`.
    pub(in crate::wire) const REFRESH_ENDPOINT_LIST: u8 = 20;
    pub(in crate::wire) const REJECT: u8 = 21;
    /// `lose`.
    pub(in crate::wire) const FAIL: u8 = 22;
    /// `touch`.
    pub(in crate::wire) const SEND_LOAD_PROBE: u8 = 23;
    /// `on_behalf`.
    pub(in crate::wire) const SET_INSTANCE: u8 = 24;
    /// `assign`.
    pub(in crate::wire) const START_ATTEMPT: u8 = 25;
    /// `defer`.
    pub(in crate::wire) const SET_TIMER: u8 = 26;
    pub(in crate::wire) const LOG: u8 = 27;
}

/// `want` of a subscription to the endpoint list.
pub(super) const SUBSCRIBE: u8 = 1;

/// Bit of `bits` in an arriving request: `estimate_ns` is given.
pub(super) const WORK_GIVEN: u8 = 1;
