//! How far the process is in its graceful shutdown.

/// The phases from serving to the exit, in the order in which they follow each other.
///
/// An operator's drain comes and goes; the phases after it begin with a signal and lead to the exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Requests are served.
    Serving,
    /// Requests are served, and clients are asked to go elsewhere until the drain ends.
    Draining,
    /// Requests are served, and clients are asked to go elsewhere before the listener closes.
    Leaving,
    /// As in `Leaving`, while another process accepts new connections from the same listener.
    HandingOver,
    /// No connections are accepted any more, and requests in flight are finished.
    Closing,
}
