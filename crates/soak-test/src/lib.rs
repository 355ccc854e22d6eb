//! Runs real proxy processes on loopback under overlapping faults, and checks invariants on what crosses
//! the sockets.
//!
//! A seed decides settings, sizes and faults ([`plan`]), and runs the same again. [`run()`](run::run)
//! starts the [`cluster`] of a plan: proxy processes, backends, discovery and clients. What these do
//! and see goes to the checker of the [`invariants`], which knows nothing of a node's inside.

pub mod backend;
pub mod clients;
pub mod cluster;
pub mod discovery;
pub mod discovery_mode;
pub mod fault_injector;
pub mod http;
pub mod invariants;
pub mod message_body;
pub mod operator;
pub mod plan;
pub mod proxy_node;
pub mod run;
