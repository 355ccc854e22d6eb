//! Index types that identify the nodes, backends and request classes of a plan.

use std::fmt;

/// Defines index types that print as bare numbers, so that a plan's faults print compactly.
macro_rules! index_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash)]
        pub struct $name(pub usize);

        /// Prints the bare number, without the type's name.
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

index_types! {
    /// Index of a node among the nodes of a run, from 0.
    NodeIndex;
    /// Index of a backend among the backends of a run, from 0.
    BackendIndex;
    /// Index of a request class in [`Plan::classes`](super::Plan::classes).
    ClassIndex;
}
