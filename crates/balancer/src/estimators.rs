//! Estimators that are updated by one sample at a time: means, a quantile, rates and fractions.

/// Factor by which the typical latency changes after a response that took longer.
const LATENCY_INCREASE: f64 = 1.012;
/// Factor by which the typical latency changes after a response that did not take longer.
const LATENCY_DECREASE: f64 = 0.992;
/// Lower bound of recorded latencies, in seconds; keeps work rates finite.
const MIN_LATENCY: f64 = 1e-6;
/// Weight of each new sample in the means of requests in flight and utilization.
const IN_FLIGHT_BASELINE_GAIN: f64 = 1.0 / 64.0;

/// An exponentially weighted mean of samples.
pub struct ExponentialMean {
    /// The present mean, in the unit of the samples.
    value: f64,
    /// Weight of each new sample, between 0 and 1.
    gain: f64,
}

impl ExponentialMean {
    /// Creates a mean that starts at `value`; each new sample counts with the weight `gain`.
    pub fn new(value: f64, gain: f64) -> Self {
        ExponentialMean { value, gain }
    }

    /// Moves the mean towards `sample` by the fraction `gain` of their difference.
    pub fn record(&mut self, sample: f64) {
        self.value += (sample - self.value) * self.gain;
    }

    /// Multiplies the mean by `factor`.
    pub fn scale(&mut self, factor: f64) {
        self.value *= factor;
    }

    /// Returns the mean of the samples so far, or the initial value before the first.
    pub fn value(&self) -> f64 {
        self.value
    }
}

/// Mean work of a request, in seconds on a standard core.
pub struct MeanWork(ExponentialMean);

impl MeanWork {
    /// Creates a mean that is unknown until the first sample; each later one counts with the weight
    /// `gain`.
    pub fn new(gain: f64) -> Self {
        MeanWork(ExponentialMean::new(0.0, gain))
    }

    /// Records the work of one request, in seconds.
    pub fn record(&mut self, work: f64) {
        if self.0.value > 0.0 {
            self.0.record(work);
        } else {
            self.0.value = work;
        }
    }

    /// Returns the mean in seconds, 0 while it is unknown.
    pub fn seconds(&self) -> f64 {
        self.0.value
    }
}

/// The typical latency of a response: a quantile, since in a mean the slow responses of overloaded
/// backends would count as typical.
pub struct LatencyQuantile {
    /// The present estimate in seconds.
    seconds: f64,
}

impl LatencyQuantile {
    /// Creates a quantile that starts at `seconds`.
    pub fn new(seconds: f64) -> Self {
        LatencyQuantile { seconds }
    }

    /// Records the latency of a response, in seconds.
    pub fn record(&mut self, latency: f64) {
        let is_longer = latency.max(MIN_LATENCY) > self.seconds;
        self.seconds *= if is_longer {
            LATENCY_INCREASE
        } else {
            LATENCY_DECREASE
        };
    }

    /// Returns the typical latency in seconds.
    pub fn seconds(&self) -> f64 {
        self.seconds
    }
}

/// An estimate of a backend's capacity in requests per second.
#[derive(Clone, Copy, Default)]
pub struct SpeedEstimate {
    /// The capacity in requests per second; 0 before the first sample.
    pub requests_per_second: f64,
    /// Number of samples that the estimate counts as based on; reduced as the samples age.
    pub sample_weight: f64,
}

impl SpeedEstimate {
    /// Records a sample in requests per second, in a mean over at most `max_samples` samples.
    pub fn record(&mut self, sample: f64, max_samples: f64) {
        self.sample_weight = (self.sample_weight + 1.0).min(max_samples);
        self.requests_per_second += (sample - self.requests_per_second) / self.sample_weight;
    }
}

/// The rate at which work is done: the mean work of responses divided by their mean latency, so
/// that long responses count in proportion to their length.
#[derive(Clone, Copy, Default)]
pub struct WorkRate {
    /// Mean work of a response, in seconds on a standard core.
    work: f64,
    /// Mean latency of a response, in seconds.
    latency: f64,
    /// Number of samples that the means count as based on; reduced as the samples age.
    pub sample_weight: f64,
}

impl WorkRate {
    /// Records a response in means over at most `max_samples` responses. `work` and `latency` are
    /// in seconds; a latency below a microsecond counts as a microsecond.
    pub fn record(&mut self, work: f64, latency: f64, max_samples: f64) {
        self.sample_weight = (self.sample_weight + 1.0).min(max_samples);
        self.work += (work - self.work) / self.sample_weight;
        self.latency += (latency.max(MIN_LATENCY) - self.latency) / self.sample_weight;
    }

    /// Returns the work done per second, in seconds of work; `None` while work or latency is
    /// unknown.
    pub fn work_per_second(&self) -> Option<f64> {
        (self.work > 0.0 && self.latency > 0.0).then(|| self.work / self.latency)
    }
}

/// The fraction of a backend's latest responses that failed.
#[derive(Clone, Copy, Default)]
pub struct FailureFraction {
    fraction: f64,
    /// Number of responses that the fraction is averaged over.
    samples: f64,
}

impl FailureFraction {
    /// Records a response in a mean over at most `max_samples` responses, and returns the fraction
    /// that failed.
    pub fn record(&mut self, has_failed: bool, max_samples: f64) -> f64 {
        let sample = if has_failed { 1.0 } else { 0.0 };
        self.samples = (self.samples + 1.0).min(max_samples);
        self.fraction += (sample - self.fraction) / self.samples;
        self.fraction
    }
}

/// Mean number of requests in flight at backends that are neither idle nor saturated, and their
/// mean utilization.
#[derive(Default)]
pub struct InFlightBaseline {
    in_flight: f64,
    utilization: f64,
}

impl InFlightBaseline {
    /// Records a load report of a backend that is neither idle nor saturated.
    pub fn record(&mut self, in_flight: f64, utilization: f64) {
        self.in_flight += (in_flight - self.in_flight) * IN_FLIGHT_BASELINE_GAIN;
        self.utilization += (utilization - self.utilization) * IN_FLIGHT_BASELINE_GAIN;
    }

    /// Returns the load that this many requests in flight indicate: the utilization that usually
    /// goes with as many.
    pub fn load(&self, in_flight: f64) -> f64 {
        in_flight * self.utilization / self.in_flight.max(1.0)
    }
}
