//! Typed ids of requests, backends, zones and timers, and positions in the settings' lists.

use std::fmt;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    )*};
}

ids! {
    /// Identifies a client request at this node; never reused.
    RequestId(u64);
    /// Identifies a backend; stays the same when its process restarts.
    BackendId(u32);
    /// Identifies a request class by its position in
    /// [`Settings::classes`](crate::Settings::classes).
    ClassId(u8);
    /// Identifies a tenant by its position in [`Settings::tenants`](crate::Settings::tenants).
    TenantId(u16);
    /// Identifies a zone by its position in the deployment's list of zones.
    ZoneId(u8);
    /// Identifies a machine type by its position in the deployment's list of machine types.
    MachineTypeId(u8);
    /// Identifies a cell: a small group of backends that share the idempotency keys they have seen.
    CellId(u16);
    /// Identifies a timer that the balancer has asked for.
    TimerId(u32);
}
