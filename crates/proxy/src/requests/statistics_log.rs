//! The periodic log line with the node's counters and the balancer's state.

use crate::metrics::{ClassCounters, Counters};
use crate::send_invariants::InvariantCounts;
use crate::upstream::pool::PoolUsage;
use balancer::{AttemptOutcome, BackendId, BackendSnapshot, BalancerSnapshot, ClassId};
use rustc_hash::FxHashMap;
use settings::SettingNames;
use std::cmp::Reverse;
use std::fmt::{self, Write as _};
use std::time::Duration;

/// Maximum number of backends listed in one line; those with the most attempts are chosen.
const MAX_LOGGED_BACKENDS: usize = 64;

/// Numbers of attempts at one backend in an interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptCounts {
    /// Attempts started in the interval.
    pub started: u32,
    /// Attempts that the backend rejected without executing them.
    pub rejected: u32,
    /// Attempts that the backend answered with an error, or whose connection broke.
    pub failed: u32,
}

impl AttemptCounts {
    /// Counts the end of an attempt. Outcomes other than rejections, errors and broken connections
    /// are not counted.
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

/// The contents of one statistics line.
pub struct Statistics<'a> {
    /// Names of classes and tenants.
    pub names: &'a SettingNames,
    /// Time since the counters were last read.
    pub interval: Duration,
    /// Counters of the interval.
    pub counters: Counters,
    /// Counters by class since they were last read, in the order of the settings. Classes without a
    /// count are left out.
    pub classes: Vec<(ClassId, ClassCounters)>,
    /// Attempts by backend since they were last read. Backends without a count are left out.
    pub attempts: FxHashMap<BackendId, AttemptCounts>,
    /// Number of requests in progress.
    pub requests_in_flight: usize,
    /// Connections to backends, and memory.
    pub pool: PoolUsage,
    /// Number of backends in maintenance, listed or not.
    pub in_maintenance: usize,
    /// State of the balancer at the end of the interval.
    pub balancer: BalancerSnapshot,
}

impl Statistics<'_> {
    /// Formats the line. Resets `invariants`, whose counts end it.
    pub fn to_line(&self, invariants: &InvariantCounts) -> String {
        let mut line = String::from("stats");
        // Writing to a `String` cannot fail.
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
             connection_reset={} not_sent={} streamed={} stream_aborted={} responses_cut={}",
            counters.attempts,
            counters.server_errors,
            counters.attempts_rejected,
            counters.timed_out,
            counters.connect_failed,
            counters.connection_reset,
            counters.not_sent,
            counters.streamed,
            counters.stream_aborted,
            counters.responses_cut,
        )
    }

    fn write_connections(&self, line: &mut String) -> fmt::Result {
        let counters = &self.counters;
        write!(
            line,
            " connections_accepted={} connection_close_sent={} backend_connects={} \
             backend_connections={} memory_reserved_kib={} memory_unreserved_kib={} in_maintenance={}",
            counters.connections_accepted,
            counters.connection_close_sent,
            counters.backend_connects,
            self.pool.open_connections,
            self.pool.reserved_bytes >> 10,
            self.pool.unreserved_bytes >> 10,
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

    /// Writes the backends that had attempts in the interval, have attempts in flight or have a
    /// share of the draws: up to [`MAX_LOGGED_BACKENDS`], sorted by attempts started, most first.
    /// All other active backends are counted as omitted.
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
