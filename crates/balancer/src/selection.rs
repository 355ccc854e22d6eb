//! Which backend a request's next attempt goes to: eligibility, and a draw weighted by shares.

use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::ids::BackendId;
use crate::request::Request;
use crate::retry_policy;
use crate::settings::Settings;
use crate::share_allocation::ClassAllocation;
use crate::slow_start;
use crate::time::Time;

/// Whether a draw may end at a backend that is warming up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmingBackends {
    /// It may.
    Included,
    /// It may not.
    Excluded,
}

/// Whether a request's next attempt may go to this backend by every rule. Every attempt passes this
/// check.
pub fn is_eligible(now: Time, settings: &Settings, request: &Request, backend: &Backend) -> bool {
    let class = settings.class(request.class);
    let limits = &settings.protocol_limits;
    let usable_capacity = backend.usable_capacity(limits, now);
    // A single heavy request can overload a warming backend.
    let is_too_heavy = usable_capacity < 1.0
        && request.work.unwrap_or(0.0) >= slow_start::max_request_work(limits, usable_capacity);
    backend.is_active()
        && backend.is_allowed_for(class)
        && !request.has_tried(backend.id)
        && (settings.hedging_allowed || request.is_idle())
        && !is_too_heavy
        && retry_policy::may_execute_at(now, request, class.idempotency, backend)
}

/// Backends with the running sum of their shares.
#[derive(Default)]
struct WeightedBackends {
    /// Each backend, and the sum of the shares up to and including its own.
    entries: Vec<CumulativeShare>,
    total: f64,
}

struct CumulativeShare {
    backend: BackendId,
    up_to: f64,
}

impl WeightedBackends {
    fn push(&mut self, backend: BackendId, share: f64) {
        self.total += share;
        self.entries.push(CumulativeShare {
            backend,
            up_to: self.total,
        });
    }

    /// The backend in whose share `point` lies, or the last.
    fn at(&self, point: f64) -> Option<BackendId> {
        self.entries
            .iter()
            .find(|entry| entry.up_to > point)
            .or(self.entries.last())
            .map(|entry| entry.backend)
    }
}

/// Draws a backend by share among those eligible for a request; `uniform` is uniform in [0, 1).
///
/// What ineligible backends leave goes to warm ones: a warming backend keeps its share and no more,
/// since the bound of slow start holds for that.
pub fn draw_backend(
    now: Time,
    settings: &Settings,
    fleet: &Fleet,
    allocation: &ClassAllocation,
    request: &Request,
    warming_backends: WarmingBackends,
    uniform: f64,
) -> Option<BackendId> {
    let (mut warming, mut warm) = (WeightedBackends::default(), WeightedBackends::default());
    for (backend, &share) in fleet.backends.active().zip(&allocation.shares) {
        if share <= 0.0
            || request.is_candidate(backend.id)
            || !is_eligible(now, settings, request, backend)
        {
            continue;
        }
        if backend.usable_capacity(&settings.protocol_limits, now) >= 1.0 {
            warm.push(backend.id, share);
        } else if warming_backends == WarmingBackends::Included {
            warming.push(backend.id, share);
        }
    }
    // Load shedding has already rejected the requests for which the upper bounds of the shares have
    // no room, so a first attempt draws from the shares alone.
    let is_first = request.attempts.is_empty() && request.candidates.is_empty();
    let range = if is_first {
        allocation.shares.iter().sum()
    } else {
        allocation.eligible_backends
    };
    let point = uniform * range;
    if point < warming.total {
        warming.at(point)
    } else {
        warm.at((point - warming.total) / (range - warming.total) * warm.total)
    }
}

#[cfg(test)]
#[path = "selection_tests.rs"]
mod tests;
