//! The modes of simulated discovery: responding, down or silent.

use std::time::Duration;

/// Longest delay of a response that counts as prompt.
const MAX_PROMPT_DELAY: Duration = Duration::from_millis(50);

/// How discovery treats the connections of all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Responds to each request after this delay, and writes changes to its watches.
    Responding(Duration),
    /// Resets all new and open connections.
    Down,
    /// Keeps polls and watches open, but writes nothing to them.
    Silent,
}

impl DiscoveryMode {
    /// Responds to each request without delay.
    pub const PROMPT: DiscoveryMode = DiscoveryMode::Responding(Duration::ZERO);

    /// Whether a request gets a response, after whatever delay.
    pub fn is_responding(self) -> bool {
        matches!(self, DiscoveryMode::Responding(_))
    }

    /// Whether a request gets a response after a short delay at most (`MAX_PROMPT_DELAY`).
    pub fn is_prompt(self) -> bool {
        matches!(self, DiscoveryMode::Responding(delay) if delay <= MAX_PROMPT_DELAY)
    }
}
