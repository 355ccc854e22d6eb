//! Requests in progress, and the dispatcher that passes events to the balancer and executes the
//! actions that it returns.
//!
//! [`dispatcher`] owns the balancer and the [`registry`], which owns the requests with their
//! [`attempts`]. [`request_log`] and [`statistics_log`] format the log lines about them.

mod attempts;
mod class_policies;
pub mod dispatcher;
mod load_probe;
mod pending_request;
mod registry;
pub mod request;
mod request_log;
mod responder;
mod statistics_log;
