//! The positions by which nodes, backends and classes are named.

use std::fmt;

macro_rules! positions {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash)]
        pub struct $name(pub usize);

        /// Prints the bare number.
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

positions! {
    /// Position of a node in the run's fleet.
    NodeIndex;
    /// Position of a backend in the run's fleet.
    BackendIndex;
    /// Position of a class in [`Plan::classes`](super::Plan::classes).
    ClassIndex;
}
