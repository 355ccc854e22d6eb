//! A reverse proxy with client-side load balancing. The `balancer` crate makes the decisions; this
//! crate does all input and output and executes the decisions.
//!
//! `node` builds the parts and connects them. A request arrives through `downstream`, is stored and
//! dispatched by `requests`, and is sent to a backend through `upstream`. `discovery` receives
//! endpoint lists. `admin` receives operators' commands, and `operator_state` stores their effects.
//! Everything runs on one thread, except for writes of the operator state file.

mod admin;
mod allocator;
mod clock;
mod config;
mod config_reload;
mod discovery;
mod downstream;
mod endpoint_updates;
mod event_log;
mod http1;
mod listener_inheritance;
mod memory_budget;
mod memory_monitor;
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
