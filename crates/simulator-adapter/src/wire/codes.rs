//! Codes of records and of values in them, with the wire protocol's name where it differs.

/// Codes of event records.
pub(super) mod event {
    /// An endpoint list or changes to it, `membership`.
    pub(in crate::wire) const ENDPOINT_LIST: u8 = 16;
    /// A timer fired, `wake`.
    pub(in crate::wire) const TIMER_FIRED: u8 = 17;
    /// The instance is killed.
    pub(in crate::wire) const POWER_OFF: u8 = 18;
    /// A request arrived, `knock`.
    pub(in crate::wire) const REQUEST_ARRIVED: u8 = 19;
    /// A load probe ended, `probe_result`.
    pub(in crate::wire) const LOAD_PROBE_ENDED: u8 = 20;
    /// An attempt ended, `verdict`.
    pub(in crate::wire) const ATTEMPT_ENDED: u8 = 21;
    /// A client disconnected, `timed_out_client`.
    pub(in crate::wire) const CLIENT_DISCONNECTED: u8 = 22;
    /// A message from another instance arrived, `note_from`.
    pub(in crate::wire) const PEER_MESSAGE: u8 = 23;
    /// The instance starts, with a seed and settings.
    pub(in crate::wire) const INIT: u8 = 24;
    /// A response started, `begun`.
    pub(in crate::wire) const RESPONSE_STARTED: u8 = 25;
    /// The records that follow concern another instance.
    pub(in crate::wire) const SWITCH_TO: u8 = 26;
}

/// Codes of action records.
pub(super) mod action {
    /// The instance's balancer has panicked, `give_in`.
    pub(in crate::wire) const DECISION_FAILURE: u8 = 18;
    /// Cancel an attempt, `retract`.
    pub(in crate::wire) const CANCEL_ATTEMPT: u8 = 19;
    /// Ask discovery for changes of the endpoint list, `keep_informed`.
    pub(in crate::wire) const REFRESH_ENDPOINT_LIST: u8 = 20;
    /// Answer a request with a rejection, after which the client may repeat it harmlessly.
    pub(in crate::wire) const REJECT: u8 = 21;
    /// Answer a request with a failure, `lose`.
    pub(in crate::wire) const FAIL: u8 = 22;
    /// Send a load probe, `touch`.
    pub(in crate::wire) const SEND_LOAD_PROBE: u8 = 23;
    /// The records that follow belong to another instance, `on_behalf`.
    pub(in crate::wire) const SET_INSTANCE: u8 = 24;
    /// Start an attempt, `assign`.
    pub(in crate::wire) const START_ATTEMPT: u8 = 25;
    /// Set a timer, `defer`.
    pub(in crate::wire) const SET_TIMER: u8 = 26;
    /// Write a line to the instance's log.
    pub(in crate::wire) const LOG: u8 = 27;
}

/// Value of the field `want` in [`action::REFRESH_ENDPOINT_LIST`] that subscribes to the endpoint
/// list.
pub(super) const SUBSCRIBE: u8 = 1;

/// Bit of the field `bits` in [`event::REQUEST_ARRIVED`]: the request's work, `estimate_ns`, is
/// given.
pub(super) const WORK_GIVEN: u8 = 1;
