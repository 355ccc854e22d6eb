//! How discovery behaves.

use std::time::Duration;

/// Longest delay of a prompt response.
const MAX_PROMPT_DELAY: Duration = Duration::from_millis(50);

/// How discovery behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// It responds to calls after this delay and writes changes to its watches.
    Responding(Duration),
    /// It resets calls and watches.
    Down,
    /// Calls and watches stay open and get no bytes.
    Silent,
}

impl DiscoveryMode {
    /// It responds at once.
    pub const PROMPT: DiscoveryMode = DiscoveryMode::Responding(Duration::ZERO);

    /// Whether a call gets a response.
    pub fn is_responding(self) -> bool {
        matches!(self, DiscoveryMode::Responding(_))
    }

    /// Whether a call gets a response at once.
    pub fn is_prompt(self) -> bool {
        matches!(self, DiscoveryMode::Responding(delay) if delay <= MAX_PROMPT_DELAY)
    }
}
