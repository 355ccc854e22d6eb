//! Backends: their addresses, connections to them, and exchanges over these.

pub mod backend_registry;
