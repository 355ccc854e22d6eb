//! Requests in progress, and the dispatcher that feeds events to the balancer and carries out its
//! actions.
//!
//! [`dispatcher`] owns the balancer, and [`registry`] the requests with their [`attempts`]. The log
//! lines about them are written in [`request_log`] and [`statistics_log`].

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
