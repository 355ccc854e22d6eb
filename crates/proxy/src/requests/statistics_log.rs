//! The periodic log line of counters and of the balancer's state.

use crate::metrics::{ClassCounters, Counters};
use crate::send_invariants::InvariantCounts;
use balancer::{AttemptOutcome, BackendId, BackendSnapshot, BalancerSnapshot, ClassId};
use rustc_hash::FxHashMap;
use settings::SettingNames;
use std::cmp::Reverse;
use std::fmt::{self, Write as _};
use std::time::Duration;

/// Backends with figures of their own in a line; the busiest ones have them.
const MAX_LOGGED_BACKENDS: usize = 64;

/// Attempts at one backend in an interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptCounts {
    /// Attempts started.
    pub started: u32,
    /// Attempts that it rejected.
    pub rejected: u32,
    /// Attempts that ended with an error or on a broken connection.
    pub failed: u32,
}

impl AttemptCounts {
    /// Counts the end of an attempt.
    pub fn count_end(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Rejected => self.rejected += 1,
            AttemptOutcome::ServerError | AttemptOutcome::ConnectionReset => self.failed += 1,
            AttemptOutcome::Success
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent => {}
        }
    }
}

/// The contents of one line.
pub struct Statistics<'a> {
    /// The names of classes and tenants.
    pub names: &'a SettingNames,
    /// Length of the interval.
    pub interval: Duration,
    /// The interval's counters.
    pub counters: Counters,
    /// The interval's counters by class.
    pub classes: Vec<(ClassId, ClassCounters)>,
    /// The interval's attempts by backend.
    pub attempts: FxHashMap<BackendId, AttemptCounts>,
    /// Requests in progress.
    pub requests_in_flight: usize,
    /// Connections to backends, open or being opened.
    pub backend_connections: usize,
    /// Backends in maintenance.
    pub in_maintenance: usize,
    /// The balancer's state.
    pub balancer: BalancerSnapshot,
}

impl Statistics<'_> {
    /// The line; resets the counts of the invariants.
    pub fn to_line(&self, invariants: &InvariantCounts) -> String {
        let mut line = String::from("stats");
        // Writing to a string does not fail.
        let _ = self.write_line(&mut line, invariants);
        line
    }

    fn write_line(&self, line: &mut String, invariants: &InvariantCounts) -> fmt::Result {
        self.write_requests(line)?;
        self.write_attempts(line)?;
        self.write_connections(line)?;
        self.write_balancer(line)?;
        self.write_classes(line)?;
        self.write_backends(line)?;
        invariants.write_to(line)
    }

    fn write_requests(&self, line: &mut String) -> fmt::Result {
        let counters = &self.counters;
        write!(
            line,
            " seconds={:.1} requests={} served={} rejected={} failed={} client_disconnected={} \
             unlogged={} in_flight={}",
            self.interval.as_secs_f64(),
            counters.requests,
            counters.served,
            counters.rejected,
            counters.failed,
            counters.client_disconnected,
            counters.unlogged,
            self.requests_in_flight,
        )
    }

    fn write_attempts(&self, line: &mut String) -> fmt::Result {
        let counters = &self.counters;
        write!(
            line,
            " attempts={} server_errors={} attempts_rejected={} timed_out={} connect_failed={} \
             connection_reset={} not_sent={} streamed={} stream_aborted={}",
            counters.attempts,
            counters.server_errors,
            counters.attempts_rejected,
            counters.timed_out,
            counters.connect_failed,
            counters.connection_reset,
            counters.not_sent,
            counters.streamed,
            counters.stream_aborted,
        )
    }

    fn write_connections(&self, line: &mut String) -> fmt::Result {
        let counters = &self.counters;
        write!(
            line,
            " connections_accepted={} connection_close_sent={} backend_connects={} \
             backend_connections={} in_maintenance={}",
            counters.connections_accepted,
            counters.connection_close_sent,
            counters.backend_connects,
            self.backend_connections,
            self.in_maintenance,
        )
    }

    fn write_balancer(&self, line: &mut String) -> fmt::Result {
        let balancer = &self.balancer;
        write!(
            line,
            " shed={:.3} load={:.2} latency_ms={:.1} retry_budget={:.1}",
            balancer.shed_fraction,
            balancer.mean_load,
            balancer.typical_latency * 1e3,
            balancer.retry_budget,
        )?;
        for (name, usage) in self.names.tenants.iter().zip(&balancer.quota_usage) {
            write!(line, " {}={usage:.2}", name.escape_debug())?;
        }
        Ok(())
    }

    fn write_classes(&self, line: &mut String) -> fmt::Result {
        for (class, counters) in &self.classes {
            let name = self.names.classes.get(usize::from(class.0));
            write!(
                line,
                " class={}:requests={},served={},late={}",
                name.map_or("", String::as_str).escape_debug(),
                counters.requests,
                counters.served,
                counters.late,
            )?;
            for (reason, count) in &counters.given_up {
                write!(line, ",{reason:?}={count}")?;
            }
        }
        Ok(())
    }

    fn write_backends(&self, line: &mut String) -> fmt::Result {
        let mut busy: Vec<_> = self
            .balancer
            .backends
            .iter()
            .map(|backend| (self.attempts.get(&backend.backend).copied(), backend))
            .filter(|(attempts, backend)| {
                attempts.is_some() || backend.in_flight > 0 || backend.share > 0.0
            })
            .map(|(attempts, backend)| (attempts.unwrap_or_default(), backend))
            .collect();
        busy.sort_by_key(|(attempts, backend)| (Reverse(attempts.started), backend.backend));
        busy.truncate(MAX_LOGGED_BACKENDS);
        let count = self.balancer.backends.len();
        write!(line, " backends={count} omitted={}", count - busy.len())?;
        for (attempts, backend) in busy {
            write_backend(line, backend, attempts)?;
        }
        Ok(())
    }
}

fn write_backend(
    line: &mut String,
    backend: &BackendSnapshot,
    attempts: AttemptCounts,
) -> fmt::Result {
    write!(
        line,
        " {}:weight={:.2},price={:.2},load={:.2},utilization={:.2},queue_depth={:.2},\
         available_capacity={:.2},speed={:.2},share={:.2},in_flight={},attempts={},rejected={},\
         errors={}",
        backend.backend,
        backend.weight,
        backend.price,
        backend.load.unwrap_or(f64::NAN),
        backend.load_report.utilization.unwrap_or(f64::NAN),
        backend.load_report.queue_depth.unwrap_or(f64::NAN),
        backend.available_capacity,
        backend.speed,
        backend.share,
        backend.in_flight,
        attempts.started,
        attempts.rejected,
        attempts.failed,
    )
}
