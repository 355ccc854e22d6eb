//! Requests in flight, and the dispatcher that feeds events to the balancer and carries out its
//! actions.

pub mod dispatcher;
