//! A reverse proxy on real sockets. The `balancer` crate decides; this crate carries its decisions
//! out.
//!
//! `node` builds the parts and connects them. A request comes in through `downstream`, is kept and
//! dispatched by `requests`, and goes out through `upstream`. `discovery` receives endpoint lists,
//! `admin` operators' commands, whose effects `operator_state` stores. Everything runs on one thread.

mod admin;
mod clock;
mod config;
mod config_reload;
mod discovery;
mod downstream;
mod event_log;
mod http1;
mod listener_inheritance;
mod metrics;
mod node;
mod operator_state;
mod peer_process;
mod requests;
mod resizable_semaphore;
mod resource_limits;
mod send_invariants;
mod shutdown;
mod socket;
mod start_times;
mod startup;
mod startup_log;
mod transient_errors;
mod upstream;

pub use node::run_from_environment;
