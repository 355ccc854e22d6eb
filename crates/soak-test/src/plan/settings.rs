//! Writes the settings of a run's nodes in the JSON form that nodes read.

use super::{Idempotency, KeyScope, Plan, RequestClass, OVERLOAD_DURATION, ZONE_NAMES};
use serde_json::{json, Value};
use std::time::Duration;

impl Plan {
    /// Returns the JSON settings of a node in the first zone. For a node in another zone, the
    /// caller replaces `zone`, an index into [`ZONE_NAMES`].
    pub fn settings(&self) -> Value {
        let registry_mode = if self.discovery_pushed {
            "automatic"
        } else {
            "subscribe"
        };
        let reporting = if self.load_reports {
            "piggyback"
        } else {
            "silent"
        };
        json!({
            "balancers": self.nodes, "zone": 0, "zones": ZONE_NAMES, "kinds": ["std"],
            "registry_mode": registry_mode,
            "profiles": self.classes.iter().map(profile).collect::<Vec<_>>(),
            "tenants": [],
            "limits": {
                "try_limit": 4, "conn_idle_ns": nanoseconds(self.idle_timeout),
                "connect_timeout_ns": 250_000_000u64, "may_cancel": true, "may_probe": false,
                "second_copies": self.hedging_allowed, "retry_after": true,
                "max_retry_after_ns": 500_000_000u64,
            },
            "report": {"how": reporting, "fields": ["utilization", "backlog"]},
            "rules": {
                "ask_every_ns": 10_000_000_000u64, "cold_from": self.slow_start_initial_capacity,
                "drain_grace_ns": nanoseconds(self.drain_grace),
                "fall_multiple": self.overload_multiple,
                "overload_for_ns": nanoseconds(OVERLOAD_DURATION),
                "warm_up_ns": nanoseconds(self.slow_start_duration),
            },
        })
    }
}

/// Returns the entry of a request class in `profiles`. Its latency objective is half its deadline.
fn profile(class: &RequestClass) -> Value {
    let effect = match class.idempotency {
        Idempotency::Idempotent => "free",
        Idempotency::Keyed => "guarded",
        Idempotency::NonIdempotent => "single_shot",
    };
    let key_scope = match class.key_scope {
        KeyScope::All => "all",
        KeyScope::Zone => "zone",
        KeyScope::Cell => "cell",
    };
    json!({
        "name": class.name, "effect": effect, "key_scope": key_scope,
        "importance": 1.0, "late_worth": 0.0,
        "promise_ns": nanoseconds(class.deadline) / 2, "deadline_ns": nanoseconds(class.deadline),
        "repeat_window_ns": nanoseconds(class.key_window),
    })
}

fn nanoseconds(duration: Duration) -> u64 {
    duration.as_nanos() as u64
}
