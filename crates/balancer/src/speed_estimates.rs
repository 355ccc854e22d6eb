//! Estimates the speeds of backends relative to the fleet's mean, from load reports or, where these
//! carry no throughput, from responses.

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
/// Weight of the machine type's work rate in a backend's expected work rate, as a number of
/// responses of the backend.
const MACHINE_TYPE_PRIOR: f64 = 6.0;
/// Weight of the mean speed in a backend's relative speed, as a number of load reports of the
/// backend.
const MEAN_SPEED_PRIOR: f64 = 8.0;
/// Capacity that is assumed of a backend without a report, as a fraction of the mean capacity.
const UNKNOWN_CAPACITY_FRACTION: f64 = 0.4;

/// Means of the speeds of the fleet's backends and machine types, against which the speed of a
/// single backend is measured.
pub struct SpeedEstimates {
    settings: Arc<Settings>,
    /// Mean capacity of the active backends in requests per second; `None` while no backend has
    /// reported one.
    mean_speed: Option<f64>,
    /// Work rate of each machine type, from the responses of its warm backends.
    machine_type_rates: FxHashMap<MachineTypeId, WorkRate>,
    /// Mean work rate of the active backends, in seconds of work per second; 1 until it is set.
    mean_work_rate: f64,
}

impl SpeedEstimates {
    /// Creates estimates without any reports or responses.
    pub fn new(settings: Arc<Settings>) -> Self {
        SpeedEstimates {
            settings,
            mean_speed: None,
            machine_type_rates: FxHashMap::default(),
            mean_work_rate: 1.0,
        }
    }

    /// Whether the capacity of any active backend is known, which requires that throughput is
    /// reported.
    pub fn is_capacity_known(&self) -> bool {
        self.settings.throughput_reported && self.mean_speed.is_some()
    }

    /// Returns the mean capacity of the active backends in requests per second; 1 while it is
    /// unknown.
    pub fn mean_speed(&self) -> f64 {
        self.mean_speed.unwrap_or(1.0)
    }

    /// Sets the mean capacity of the active backends in requests per second; `None` if it is
    /// unknown.
    pub fn set_mean_speed(&mut self, mean_speed: Option<f64>) {
        self.mean_speed = mean_speed;
    }

    /// Sets the mean work rate of the active backends, in seconds of work per second.
    pub fn set_mean_work_rate(&mut self, mean_work_rate: f64) {
        self.mean_work_rate = mean_work_rate;
    }

    /// Records a response to a request of this work, with this latency, both in seconds, in the
    /// work rates of the backend and of its machine type.
    pub fn record_response(&mut self, now: Time, backend: &mut Backend, work: f64, latency: f64) {
        backend.work_rate.record(work, latency, BACKEND_SAMPLES);
        backend.sampled_at = now;
        // The latency of a warming backend depends on its age and says nothing of its machine type.
        if !backend.is_warming_up(&self.settings.protocol_limits, now) {
            self.machine_type_rates
                .entry(backend.machine_type)
                .or_default()
                .record(work, latency, MACHINE_TYPE_SAMPLES);
        }
    }

    /// Returns the work rate expected of a backend, in seconds of work per second: the mean of its
    /// own rate and that of its machine type, weighted by samples. A node in a large fleet gets few
    /// responses of a single backend, but many of its machine type.
    pub fn expected_work_rate(&self, backend: &Backend) -> f64 {
        let machine_type_rate = self
            .machine_type_rates
            .get(&backend.machine_type)
            .and_then(WorkRate::work_per_second)
            .unwrap_or(self.mean_work_rate);
        let WorkRate { sample_weight, .. } = backend.work_rate;
        let own_rate = backend
            .work_rate
            .work_per_second()
            .unwrap_or(machine_type_rate);
        (own_rate * sample_weight + machine_type_rate * MACHINE_TYPE_PRIOR)
            / (sample_weight + MACHINE_TYPE_PRIOR)
    }

    /// Returns the speed of a backend relative to the mean.
    ///
    /// Where the endpoint list gives weights, the speed is the weight relative to `mean_weight`,
    /// the mean weight of the active backends. If no throughput is reported, that is multiplied by
    /// the relative work rate: the weight gives the size of a backend, a response the speed of one
    /// of its cores. Without weights, the speed is that by reported throughput or, if none is
    /// reported, the relative work rate.
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

    /// Returns the speed of a backend relative to the mean, by measurements without the weights of
    /// the endpoint list; 1 where throughput is reported but the backend has reported none.
    pub fn measured_relative_speed(&self, backend: &Backend) -> f64 {
        if !self.settings.throughput_reported {
            self.expected_work_rate(backend) / self.mean_work_rate
        } else if backend.speed.sample_weight > 0.0 {
            backend.speed.requests_per_second / self.mean_speed()
        } else {
            1.0
        }
    }

    /// Returns the capacity of a backend in requests per second, where throughput is reported. For
    /// a backend without a report it is a fraction of the mean capacity.
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
