//! Estimates from samples that arrive one by one.

/// Factor on the typical latency after a response that took longer.
const LATENCY_INCREASE: f64 = 1.012;
/// Factor on the typical latency after a response that did not.
const LATENCY_DECREASE: f64 = 0.992;
/// Lower bound of recorded latencies, in seconds; keeps rates finite.
const MIN_LATENCY: f64 = 1e-6;
/// Weight of a sample in the usual number of requests in flight.
const IN_FLIGHT_BASELINE_GAIN: f64 = 1.0 / 64.0;

/// An exponentially weighted mean.
pub struct ExponentialMean {
    value: f64,
    /// Weight of each sample.
    gain: f64,
}

impl ExponentialMean {
    /// A mean that starts at `value`; each sample counts with the weight `gain`.
    pub fn new(value: f64, gain: f64) -> Self {
        ExponentialMean { value, gain }
    }

    /// Takes in a sample.
    pub fn record(&mut self, sample: f64) {
        self.value += (sample - self.value) * self.gain;
    }

    /// Multiplies the mean by `factor`.
    pub fn scale(&mut self, factor: f64) {
        self.value *= factor;
    }

    /// The mean of the samples so far.
    pub fn value(&self) -> f64 {
        self.value
    }
}

/// Mean work of a request, in seconds on a standard core.
pub struct MeanWork(ExponentialMean);

impl MeanWork {
    /// Unknown until the first sample; each later one counts with the weight `gain`.
    pub fn new(gain: f64) -> Self {
        MeanWork(ExponentialMean::new(0.0, gain))
    }

    /// Takes in the work of one request, in seconds.
    pub fn record(&mut self, work: f64) {
        if self.0.value > 0.0 {
            self.0.record(work);
        } else {
            self.0.value = work;
        }
    }

    /// The mean in seconds, 0 while unknown.
    pub fn seconds(&self) -> f64 {
        self.0.value
    }
}

/// The typical latency of a response: a quantile, so that the responses of overloaded backends do
/// not pass for typical as they would in a mean.
pub struct LatencyQuantile {
    seconds: f64,
}

impl LatencyQuantile {
    /// A quantile that starts at `seconds`.
    pub fn new(seconds: f64) -> Self {
        LatencyQuantile { seconds }
    }

    /// Takes in the latency of a response, in seconds.
    pub fn record(&mut self, latency: f64) {
        let is_longer = latency.max(MIN_LATENCY) > self.seconds;
        self.seconds *= if is_longer {
            LATENCY_INCREASE
        } else {
            LATENCY_DECREASE
        };
    }

    /// The typical latency in seconds.
    pub fn seconds(&self) -> f64 {
        self.seconds
    }
}

/// Capacity of a backend in requests per second.
#[derive(Clone, Copy, Default)]
pub struct SpeedEstimate {
    /// Requests per second; 0 before the first sample.
    pub requests_per_second: f64,
    /// Samples that the estimate rests on, fewer as they age.
    pub sample_weight: f64,
}

impl SpeedEstimate {
    /// Takes in a sample in requests per second, in a mean over at most `max_samples` of them.
    pub fn record(&mut self, sample: f64, max_samples: f64) {
        self.sample_weight = (self.sample_weight + 1.0).min(max_samples);
        self.requests_per_second += (sample - self.requests_per_second) / self.sample_weight;
    }
}

/// How fast responses come for their work: means of work and latency, so that long responses count
/// by their length.
#[derive(Clone, Copy, Default)]
pub struct WorkRate {
    /// Mean work of a response, in seconds on a standard core.
    work: f64,
    /// Mean latency of a response, in seconds.
    latency: f64,
    /// Samples that the means rest on, fewer as they age.
    pub sample_weight: f64,
}

impl WorkRate {
    /// Takes in a response, in means over at most `max_samples` of them. `latency` is in seconds
    /// and at least a microsecond.
    pub fn record(&mut self, work: f64, latency: f64, max_samples: f64) {
        self.sample_weight = (self.sample_weight + 1.0).min(max_samples);
        self.work += (work - self.work) / self.sample_weight;
        self.latency += (latency.max(MIN_LATENCY) - self.latency) / self.sample_weight;
    }

    /// Work done per second, once anything is known.
    pub fn work_per_second(&self) -> Option<f64> {
        (self.work > 0.0 && self.latency > 0.0).then(|| self.work / self.latency)
    }
}

/// Fraction of a backend's latest responses that failed.
#[derive(Clone, Copy, Default)]
pub struct FailureFraction {
    fraction: f64,
    samples: f64,
}

impl FailureFraction {
    /// Takes in a response, in a mean over at most `max_samples` of them, and returns the fraction
    /// that failed.
    pub fn record(&mut self, has_failed: bool, max_samples: f64) -> f64 {
        let sample = if has_failed { 1.0 } else { 0.0 };
        self.samples = (self.samples + 1.0).min(max_samples);
        self.fraction += (sample - self.fraction) / self.samples;
        self.fraction
    }
}

/// Requests that backends which are not saturated usually have in flight, and their utilization.
#[derive(Default)]
pub struct InFlightBaseline {
    in_flight: f64,
    utilization: f64,
}

impl InFlightBaseline {
    /// Takes in a report of a backend that is neither idle nor saturated.
    pub fn record(&mut self, in_flight: f64, utilization: f64) {
        self.in_flight += (in_flight - self.in_flight) * IN_FLIGHT_BASELINE_GAIN;
        self.utilization += (utilization - self.utilization) * IN_FLIGHT_BASELINE_GAIN;
    }

    /// The utilization that usually goes with so many requests in flight, as a load.
    pub fn load(&self, in_flight: f64) -> f64 {
        in_flight * self.utilization / self.in_flight.max(1.0)
    }
}
