//! Requests in progress, and the dispatcher that feeds events to the balancer and carries out its
//! actions.
//!
//! [`dispatcher`] owns the balancer, and [`registry`] the requests with their [`attempts`]. The log
//! lines about them are written in [`request_log`] and [`statistics_log`].

mod attempts;
pub mod dispatcher;
mod registry;
pub mod request;
mod request_log;
mod statistics_log;
