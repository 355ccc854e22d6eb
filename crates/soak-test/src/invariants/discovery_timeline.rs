//! Records how discovery behaved at each time of a run, to determine when a node must have been
//! notified of a change.

use crate::discovery_mode::DiscoveryMode;
use std::time::{Duration, Instant};

/// A change of discovery's behavior.
struct ModeChange {
    /// When discovery began to behave as `mode` says.
    at: Instant,
    mode: DiscoveryMode,
}

/// How discovery has behaved since the start of the run.
pub(super) struct DiscoveryTimeline {
    /// The changes in order of time, never empty. Each mode lasts until the next change.
    changes: Vec<ModeChange>,
}

impl DiscoveryTimeline {
    /// Creates a timeline on which discovery responds promptly from `start` on.
    pub(super) fn new(start: Instant) -> Self {
        DiscoveryTimeline {
            changes: vec![ModeChange {
                at: start,
                mode: DiscoveryMode::PROMPT,
            }],
        }
    }

    /// Appends a change, which must not be earlier than the last one.
    pub(super) fn push(&mut self, at: Instant, mode: DiscoveryMode) {
        self.changes.push(ModeChange { at, mode });
    }

    /// Returns the start of the first period, at `since` or later, in which discovery was in one
    /// accepted mode for at least `min_duration`. A mode that still lasts counts as long enough,
    /// and of one that began before `since` only the time from `since` on counts. `None` if there
    /// was no such period.
    pub(super) fn first_period_start(
        &self,
        since: Instant,
        min_duration: Duration,
        is_accepted: impl Fn(DiscoveryMode) -> bool,
    ) -> Option<Instant> {
        for (index, change) in self.changes.iter().enumerate() {
            let start = change.at.max(since);
            let is_long_enough = match self.changes.get(index + 1) {
                Some(next) => next.at > since && next.at >= start + min_duration,
                None => true, // This mode still lasts.
            };
            if is_accepted(change.mode) && is_long_enough {
                return Some(start);
            }
        }
        None
    }

    /// Returns when discovery last became silent, at `at` or earlier. `None` if it has not by then.
    pub(super) fn last_silence_start(&self, at: Instant) -> Option<Instant> {
        self.changes
            .iter()
            .rfind(|change| change.at <= at && change.mode == DiscoveryMode::Silent)
            .map(|change| change.at)
    }

    /// Formats the changes for the description of a violation, with times in milliseconds from
    /// `start` (0 for earlier ones).
    pub(super) fn describe(&self, start: Instant) -> String {
        let changes: Vec<String> = self
            .changes
            .iter()
            .map(|change| {
                let at = change.at.saturating_duration_since(start);
                format!("{:?} from {} ms", change.mode, at.as_millis())
            })
            .collect();
        changes.join(", ")
    }
}
