//! Selects the backend of a request's next attempt: checks which backends are eligible, and draws
//! one of them with probabilities in proportion to their shares.

use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::ids::BackendId;
use crate::request::Request;
use crate::retry_policy;
use crate::settings::Settings;
use crate::share_allocation::ClassAllocation;
use crate::slow_start;
use crate::time::Time;

/// Whether a draw may select a backend that is warming up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmingBackends {
    /// Warming backends are drawn by their shares.
    Included,
    /// Only warm backends are drawn.
    Excluded,
}

/// Whether all rules allow a request's next attempt to go to this backend: endpoint state, allowed
/// zones and machine types, earlier attempts, hedging, slow start and idempotency. Every attempt is
/// checked by this function before it starts.
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

/// Backends with the running sum of their shares, for a weighted draw.
#[derive(Default)]
struct WeightedBackends {
    /// The backends, in the order in which they were added.
    entries: Vec<CumulativeShare>,
    /// The sum of all shares.
    total: f64,
}

/// One backend of [`WeightedBackends`].
struct CumulativeShare {
    backend: BackendId,
    /// Sum of the shares up to and including the backend's own.
    cumulative_share: f64,
}

impl WeightedBackends {
    fn push(&mut self, backend: BackendId, share: f64) {
        self.total += share;
        self.entries.push(CumulativeShare {
            backend,
            cumulative_share: self.total,
        });
    }

    /// Returns the backend in whose part of the running sum `point` lies, or the last backend if
    /// `point` lies beyond all; `None` if there are no backends.
    fn at(&self, point: f64) -> Option<BackendId> {
        self.entries
            .iter()
            .find(|entry| entry.cumulative_share > point)
            .or(self.entries.last())
            .map(|entry| entry.backend)
    }
}

/// Draws a backend for a request's next attempt by share among the eligible backends that are not
/// candidates of the request; `uniform` is a random number, uniform in [0, 1).
///
/// The shares of ineligible backends go to warm backends. A warming backend is drawn with its own
/// share and no more, because the bound of slow start is on that share. Returns `None` if the draw
/// falls to the warm backends and none of those is left.
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
    // Load shedding has already rejected the requests for which the upper bounds of the shares
    // leave no room, so the first attempt of a request draws from the sum of the shares alone.
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
