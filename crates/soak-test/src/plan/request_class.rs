//! Request classes: which requests may be executed more than once, and how long their clients wait.

use std::time::Duration;

/// How often a request of a class may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Any number of times with an idempotency key, within a scope of backends and for a limited
    /// time.
    Keyed,
    /// At most once: it may be sent again only if every earlier attempt is known not to have been
    /// executed.
    NonIdempotent,
}

/// The backends that together deduplicate requests with the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All backends, whatever their zone and cell.
    All,
    /// The backends of the same zone.
    Zone,
    /// The backends of the same cell.
    Cell,
}

/// A request class of a plan: the properties that its requests share.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Its name in the settings, which is also the first segment of its requests' paths.
    pub name: &'static str,
    /// How often its requests may be executed.
    pub idempotency: Idempotency,
    /// Which backends deduplicate its requests together; applies if the class is keyed.
    pub key_scope: KeyScope,
    /// For how long they deduplicate them; applies if the class is keyed.
    pub key_window: Duration,
    /// The longest time that its clients wait for a response in all.
    pub deadline: Duration,
}
