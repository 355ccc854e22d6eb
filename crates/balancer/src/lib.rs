//! The decisions of a reverse proxy that distributes requests over backends: admission, choice of
//! backends, retries, load probes and polls of the endpoint list.
//!
//! Each node keeps a price per backend, moved by a projected dual step on the reported load. It
//! draws backends at random by their shares, which maximise a concave utility that depends on the
//! backends' speeds, minus the price. Prices, shares and speeds are relative to the number n of
//! active backends: with the paper's symbols, price = φ/n, lambda = λ/n, speed = ζ/n (mean 1) and
//! share = η·n (sum n), so that no constant depends on the size of the fleet.
//!
//! The crate does no I/O, reads no clock, starts no threads and has no global state: the node
//! passes [`Event`]s with its own time to [`Balancer::handle`] and carries out the [`Action`]s that
//! it returns. The same settings, seed and events give the same actions.
//!
//! ```
//! use balancer::*;
//! use std::time::Duration;
//!
//! let second = Duration::from_secs(1);
//! let settings = Settings {
//!     nodes: 1,
//!     zone: ZoneId(0),
//!     zones: 1,
//!     classes: vec![RequestClass {
//!         idempotency: Idempotency::Idempotent,
//!         latency_objective: second,
//!         objective_work_factor: 0.0,
//!         deadline: 2 * second,
//!         priority_weight: 1.0,
//!         late_weight: 0.0,
//!         streaming: false,
//!         allowed_zones: None,
//!         allowed_machine_types: None,
//!     }],
//!     tenants: vec![],
//!     over_quota_weight: 1.0,
//!     weight_per_work: false,
//!     endpoint_weights_given: false,
//!     load_reporting: LoadReporting::WithResponses,
//!     throughput_reported: true,
//!     polled_discovery: false,
//!     max_attempts: 3,
//!     cancellation_allowed: true,
//!     load_probes_allowed: false,
//!     hedging_allowed: false,
//!     idle_timeout: 60 * second,
//!     connect_timeout: second / 4,
//!     max_retry_after: None,
//!     protocol_limits: ProtocolLimits {
//!         drain_grace: second,
//!         slow_start_initial_capacity: 0.2,
//!         slow_start_duration: 20 * second,
//!         overload_multiple: 3.0,
//!         overload_duration: second,
//!         poll_interval_limit: 10 * second,
//!     },
//! };
//! let mut balancer = Balancer::new(settings, 42, Time(0))?;
//! let mut actions = Vec::new();
//! let endpoint = Endpoint {
//!     backend: BackendId(7),
//!     zone: ZoneId(0),
//!     machine_type: MachineTypeId(0),
//!     cell: CellId(0),
//!     state: EndpointState::Active,
//!     weight: 1.0,
//!     started_at: None,
//!     likely_started_at: None,
//! };
//! let list = Event::EndpointList {
//!     update: ListUpdate::Snapshot,
//!     endpoints: vec![endpoint],
//! };
//! balancer.handle(Time(1), list, &mut actions);
//! let arrival = RequestArrival {
//!     request: RequestId(1),
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     remaining: second,
//!     work: None,
//!     body_pending: false,
//! };
//! balancer.handle(Time(2), Event::RequestArrived(arrival), &mut actions);
//! let [Action::StartAttempt { backend, .. }] = actions[..] else {
//!     panic!("one attempt expected");
//! };
//! assert_eq!(backend, BackendId(7));
//! # Ok::<(), SettingsError>(())
//! ```

#![forbid(unsafe_code)]

mod actions;
mod admission;
mod attempt_budget;
mod backend;
mod backend_table;
mod balancer;
mod endpoint_list;
mod estimators;
mod events;
mod fleet;
mod ids;
mod load_probing;
mod load_report;
mod numeric;
mod pricing;
mod random;
mod rate;
mod request;
mod retry_policy;
mod selection;
mod settings;
mod share_allocation;
mod share_solver;
mod slow_start;
mod snapshot;
mod speed_estimates;
mod time;
mod timers;
mod traffic_fraction;

#[cfg(test)]
#[path = "../tests/common/mod.rs"]
mod test_common;
#[cfg(test)]
mod test_support;

pub use actions::{Action, GiveUpReason};
pub use balancer::Balancer;
pub use events::{
    AttemptOutcome, AttemptResult, Endpoint, EndpointState, Event, ListUpdate, LoadProbeResult,
    RequestArrival,
};
pub use ids::{BackendId, CellId, ClassId, MachineTypeId, RequestId, TenantId, TimerId, ZoneId};
pub use load_report::LoadReport;
pub use settings::{
    Idempotency, KeyScope, LoadReporting, ProtocolLimits, RequestClass, Settings, SettingsError,
    Tenant,
};
pub use snapshot::{BackendSnapshot, BalancerSnapshot};
pub use time::Time;
