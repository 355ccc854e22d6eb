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
    /// One client request at this node; never reused.
    RequestId(u64);
    /// One backend, the same at every restart of its process.
    BackendId(u32);
    /// Position in [`Settings::classes`](crate::Settings::classes).
    ClassId(u8);
    /// Position in [`Settings::tenants`](crate::Settings::tenants).
    TenantId(u16);
    /// Position in the deployment's list of zones.
    ZoneId(u8);
    /// Position in the deployment's list of machine types.
    MachineTypeId(u8);
    /// A small group of backends that share the idempotency keys they have seen.
    CellId(u16);
    /// A timer set by the balancer.
    TimerId(u32);
}
