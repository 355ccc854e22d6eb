//! Classes of requests.

use std::time::Duration;

/// How far the requests of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// With an idempotency key, within a scope of backends and for a time.
    Keyed,
    /// Only once every earlier attempt is known not to have been executed.
    NonIdempotent,
}

/// Backends that deduplicate requests with the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every backend.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The first part of its path.
    pub name: &'static str,
    /// How far its requests may be repeated.
    pub idempotency: Idempotency,
    /// Where repeats are deduplicated.
    pub key_scope: KeyScope,
    /// For how long they are.
    pub key_window: Duration,
    /// How long its clients wait in all.
    pub deadline: Duration,
}
