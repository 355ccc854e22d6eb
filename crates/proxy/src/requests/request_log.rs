//! Log lines about single requests that were given up, and about exchanges that failed.

use super::attempts::{Attempt, AttemptEnd};
use super::registry::RequestRecord;
use super::request::FinalResponse;
use crate::upstream::response::ExchangeError;
use balancer::{BackendId, GiveUpReason};
use std::fmt::{self, Write as _};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of bytes of a client-assigned request id that are logged.
const MAX_LOGGED_ID_BYTES: usize = 64;

/// The final response to a request that is given up, without a response from a backend.
#[derive(Clone, Copy, Debug)]
pub enum GivenUpResponse {
    /// The request was not executed, or repeating it is harmless. Sent as
    /// [`FinalResponse::Rejected`].
    Rejected {
        /// How long the client should wait before it retries; `None` gives no advice.
        retry_after: Option<Duration>,
    },
    /// The request may have been executed. Sent as [`FinalResponse::Failed`].
    Failed,
}

impl From<GivenUpResponse> for FinalResponse {
    fn from(response: GivenUpResponse) -> Self {
        match response {
            GivenUpResponse::Rejected { retry_after } => FinalResponse::Rejected { retry_after },
            GivenUpResponse::Failed => FinalResponse::Failed,
        }
    }
}

impl fmt::Display for GivenUpResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            GivenUpResponse::Rejected { .. } => "rejected",
            GivenUpResponse::Failed => "failed",
        })
    }
}

/// Formats the log line about a request that was given up, with all its attempts.
pub fn given_up_line(
    record: &RequestRecord,
    response: GivenUpResponse,
    reason: GiveUpReason,
) -> String {
    let mut line = format!(
        "request id={} class={} tenant={} response={response} \
         reason={reason:?} read_ms={:.2} age_ms={:.2} remaining_ms={:.0}",
        printable_id(&record.id),
        record.class,
        record.tenant,
        milliseconds(record.accepted_at - record.first_byte_at),
        milliseconds(record.first_byte_at.elapsed()),
        milliseconds(record.deadline.saturating_duration_since(Instant::now())),
    );
    for attempt in &record.attempts {
        // Writing to a `String` cannot fail.
        let _ = write_attempt(&mut line, record, attempt);
    }
    line
}

/// Appends an attempt: its backend and start and, once it has ended, its outcome, latency and load.
/// Times are in milliseconds; the start counts from the first byte of the request.
fn write_attempt(line: &mut String, record: &RequestRecord, attempt: &Attempt) -> fmt::Result {
    let start = milliseconds(attempt.started_at - record.first_byte_at);
    write!(line, " attempt={}@{start:.2}", attempt.backend)?;
    let Some(end) = attempt.end() else {
        return Ok(());
    };
    write!(line, ":{:?}:{:.2}", end.outcome, milliseconds(end.latency))?;
    let report = end.load_report.unwrap_or_default();
    if let Some(utilization) = report.utilization {
        write!(line, ":utilization={utilization:.2}")?;
    }
    if let Some(queue_depth) = report.queue_depth {
        write!(line, ":queue_depth={queue_depth:.2}")?;
    }
    Ok(())
}

/// Formats the log line about an attempt that has ended because its connection or response failed.
/// For a streamed request body it tells how much of the body had been received.
pub fn exchange_failed_line(
    record: &RequestRecord,
    index: u32,
    backend: BackendId,
    end: &AttemptEnd,
    error: &ExchangeError,
) -> String {
    let mut line = format!(
        "exchange_failed id={} backend={backend} attempt={index} outcome={:?} ms={:.2}",
        printable_id(&record.id),
        end.outcome,
        milliseconds(end.latency),
    );
    // Writing to a `String` cannot fail.
    if let Some(upload) = record.request.body().upload() {
        let _ = write!(line, " upload={}", upload.progress());
    }
    let _ = write!(line, " error=\"{error}\"");
    line
}

/// Formats a client-assigned request id for the log, truncated to [`MAX_LOGGED_ID_BYTES`] and
/// escaped, since it may hold any bytes.
pub fn printable_id(id: &[u8]) -> impl fmt::Display + '_ {
    id[..id.len().min(MAX_LOGGED_ID_BYTES)].escape_ascii()
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
