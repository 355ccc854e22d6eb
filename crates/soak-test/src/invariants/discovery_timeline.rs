//! How discovery behaved when.

use crate::discovery_mode::DiscoveryMode;
use std::time::{Duration, Instant};

struct ModeChange {
    at: Instant,
    mode: DiscoveryMode,
}

/// How discovery has behaved since the run's beginning.
pub(super) struct DiscoveryTimeline {
    changes: Vec<ModeChange>,
}

impl DiscoveryTimeline {
    /// Discovery responds promptly from `start` on.
    pub(super) fn new(start: Instant) -> Self {
        DiscoveryTimeline {
            changes: vec![ModeChange {
                at: start,
                mode: DiscoveryMode::PROMPT,
            }],
        }
    }

    pub(super) fn push(&mut self, at: Instant, mode: DiscoveryMode) {
        self.changes.push(ModeChange { at, mode });
    }

    /// The first moment from `since` on at which discovery behaved in an accepted way, for
    /// `min_duration` or longer.
    pub(super) fn first_period(
        &self,
        since: Instant,
        min_duration: Duration,
        is_accepted: impl Fn(DiscoveryMode) -> bool,
    ) -> Option<Instant> {
        for (index, change) in self.changes.iter().enumerate() {
            let start = change.at.max(since);
            let is_long_enough = match self.changes.get(index + 1) {
                Some(next) => next.at > since && next.at >= start + min_duration,
                None => true, // It still behaves like that.
            };
            if is_accepted(change.mode) && is_long_enough {
                return Some(start);
            }
        }
        None
    }

    /// When discovery last became silent, at `at` or before.
    pub(super) fn last_silence(&self, at: Instant) -> Option<Instant> {
        self.changes
            .iter()
            .rfind(|change| change.at <= at && change.mode == DiscoveryMode::Silent)
            .map(|change| change.at)
    }

    /// The changes as text, in milliseconds from `start`.
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
