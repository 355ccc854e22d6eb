//! Speeds of backends relative to the fleet's mean, from load reports or from responses.

use crate::backend::Backend;
use crate::estimators::{SpeedEstimate, WorkRate};
use crate::ids::MachineTypeId;
use crate::settings::Settings;
use crate::time::Time;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Number of responses over which a backend's work rate is averaged.
const BACKEND_SAMPLES: f64 = 16.0;
/// Number of responses, of all its backends, over which a machine type's work rate is averaged.
const MACHINE_TYPE_SAMPLES: f64 = 64.0;
/// Weight of the machine type's work rate beside the backend's own, in responses.
const MACHINE_TYPE_PRIOR: f64 = 6.0;
/// Weight of the mean speed beside a backend's own, in reports of capacity.
const MEAN_SPEED_PRIOR: f64 = 8.0;
/// Fraction of the mean capacity that a backend without a report is trusted with.
const UNKNOWN_CAPACITY_FRACTION: f64 = 0.4;

/// What is known of the speeds of the fleet.
pub struct SpeedEstimates {
    settings: Arc<Settings>,
    /// Mean capacity of the active backends in requests per second, once any has reported.
    mean_speed: Option<f64>,
    /// Work rates of the machine types, from the responses of warm backends.
    machine_type_rates: FxHashMap<MachineTypeId, WorkRate>,
    /// Mean work rate of the active backends, in work per second.
    mean_work_rate: f64,
}

impl SpeedEstimates {
    /// Nothing is known yet.
    pub fn new(settings: Arc<Settings>) -> Self {
        SpeedEstimates {
            settings,
            mean_speed: None,
            machine_type_rates: FxHashMap::default(),
            mean_work_rate: 1.0,
        }
    }

    /// Whether the capacity of any active backend is known.
    pub fn is_capacity_known(&self) -> bool {
        self.settings.throughput_reported && self.mean_speed.is_some()
    }

    /// Mean capacity of the active backends in requests per second; 1 while it is unknown.
    pub fn mean_speed(&self) -> f64 {
        self.mean_speed.unwrap_or(1.0)
    }

    /// Sets the mean capacity in requests per second.
    pub fn set_mean_speed(&mut self, mean_speed: Option<f64>) {
        self.mean_speed = mean_speed;
    }

    /// Sets the mean work rate in work per second.
    pub fn set_mean_work_rate(&mut self, mean_work_rate: f64) {
        self.mean_work_rate = mean_work_rate;
    }

    /// Takes in a response of `work` and `latency`, both in seconds.
    pub fn record_response(&mut self, now: Time, backend: &mut Backend, work: f64, latency: f64) {
        backend.work_rate.record(work, latency, BACKEND_SAMPLES);
        backend.sampled_at = now;
        // The responses of a warming backend tell its age, not its machine type.
        if !backend.is_warming_up(&self.settings.protocol_limits, now) {
            self.machine_type_rates
                .entry(backend.machine_type)
                .or_default()
                .record(work, latency, MACHINE_TYPE_SAMPLES);
        }
    }

    /// Work per second expected of a backend: its own rate and that of its machine type, weighted
    /// by samples. A node of a large fleet meets a single backend seldom, its machine type often.
    pub fn expected_work_rate(&self, backend: &Backend) -> f64 {
        let of_machine_type = self
            .machine_type_rates
            .get(&backend.machine_type)
            .and_then(WorkRate::work_per_second)
            .unwrap_or(self.mean_work_rate);
        let WorkRate { sample_weight, .. } = backend.work_rate;
        let own = backend
            .work_rate
            .work_per_second()
            .unwrap_or(of_machine_type);
        (own * sample_weight + of_machine_type * MACHINE_TYPE_PRIOR)
            / (sample_weight + MACHINE_TYPE_PRIOR)
    }

    /// Speed of a backend relative to the mean. The weight of the endpoint list gives a backend's
    /// size, a response the speed of one of its cores.
    pub fn relative_speed(&self, backend: &Backend, mean_weight: f64) -> f64 {
        let has_weights = self.settings.endpoint_weights_given;
        match (has_weights, self.settings.throughput_reported) {
            (true, true) => backend.weight / mean_weight,
            (true, false) => {
                backend.weight / mean_weight * self.expected_work_rate(backend)
                    / self.mean_work_rate
            }
            (false, true) => {
                let SpeedEstimate {
                    requests_per_second,
                    sample_weight,
                } = backend.speed;
                (requests_per_second / self.mean_speed() * sample_weight + MEAN_SPEED_PRIOR)
                    / (sample_weight + MEAN_SPEED_PRIOR)
            }
            (false, false) => self.expected_work_rate(backend) / self.mean_work_rate,
        }
    }

    /// Speed of a backend relative to the mean, by its own samples alone.
    pub fn measured_relative_speed(&self, backend: &Backend) -> f64 {
        if !self.settings.throughput_reported {
            self.expected_work_rate(backend) / self.mean_work_rate
        } else if backend.speed.sample_weight > 0.0 {
            backend.speed.requests_per_second / self.mean_speed()
        } else {
            1.0
        }
    }

    /// Capacity of a backend in requests per second, where throughput is reported.
    pub fn capacity(&self, backend: &Backend) -> f64 {
        if backend.speed.sample_weight > 0.0 {
            backend.speed.requests_per_second
        } else {
            self.mean_speed() * UNKNOWN_CAPACITY_FRACTION
        }
    }
}

#[cfg(test)]
#[path = "speed_estimates_tests.rs"]
mod tests;
