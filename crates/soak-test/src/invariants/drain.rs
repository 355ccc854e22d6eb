//! Checks [`Invariant::SafeDrain`](super::Invariant::SafeDrain) for drains: once a node was
//! notified that a backend drains or is removed, and the grace period has passed, it starts no
//! attempt there. Maintenance has its checks in [`maintenance`](super::maintenance).

use super::{InvariantChecker, OBSERVER_ALLOWANCE, SOCKET_ALLOWANCE};
use crate::discovery_mode::DiscoveryMode;
use crate::plan::{BackendIndex, NodeIndex};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A node counts as notified of a change this long after discovery had the change and responded to
/// calls.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);
/// A node counts as notified of a change this long after a reload, or after the change if that is
/// later, provided that discovery responded to calls at some time since the change.
const NOTIFICATION_LIMIT_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// What discovery writes to a node during an upgrade counts as a notification no earlier than this
/// long after the new process was ready.
const UPGRADE_ALLOWANCE: Duration = Duration::from_secs(2);
/// For this long after discovery became silent, a watch may miss changes: a watch that was silenced
/// stays so, and its node needs time to notice and replace it.
const SILENT_WATCH_LIMIT: Duration = Duration::from_secs(12);
/// Nodes call discovery ten times a second, so they may miss a period shorter than this in which it
/// responds.
const MIN_REACHABLE_PERIOD: Duration = Duration::from_millis(250);

/// What discovery sent to a node since its process started, and the events that affect when the
/// node counts as notified.
#[derive(Clone)]
pub(super) struct NodeNotifications {
    /// When the node's process was last started, upgrades excluded.
    process_started: Instant,
    /// When the process was last signalled to reload its configuration. `None` if it never was.
    last_reload: Option<Instant>,
    /// When discovery first wrote to the node that a backend drains or is not listed, by backend.
    drains_written: HashMap<BackendIndex, Instant>,
    /// When discovery first wrote a backend's latest start to the node, by backend.
    starts_written: HashMap<BackendIndex, Instant>,
    /// The latest upgrade since the process was started. `None` if there was none.
    upgrade: Option<Upgrade>,
}

/// An upgrade of a node: from its start on, what is written to one of the node's two processes is
/// not necessarily known to the other.
#[derive(Clone, Copy)]
struct Upgrade {
    /// When the new process was started.
    began: Instant,
    /// When the new process was ready. `None` while it is not.
    ready: Option<Instant>,
}

impl Upgrade {
    /// Returns when both processes count as notified of what was written at `at`, during or after
    /// the upgrade. `None` while the new process is not ready.
    fn effective_at(self, at: Instant) -> Option<Instant> {
        let effective_from = self.ready? + UPGRADE_ALLOWANCE;
        Some(at.max(effective_from))
    }
}

impl NodeNotifications {
    /// Creates the record of a process that starts at `process_started` and has received
    /// nothing from discovery yet.
    pub(super) fn new(process_started: Instant) -> Self {
        NodeNotifications {
            process_started,
            last_reload: None,
            drains_written: HashMap::new(),
            starts_written: HashMap::new(),
            upgrade: None,
        }
    }

    /// Returns when the node counts as notified of what it received at `at`: at `at` itself, unless
    /// an upgrade had begun by then. `None` while the new process of that upgrade is not ready.
    fn effective_at(&self, at: Instant) -> Option<Instant> {
        match self.upgrade {
            Some(upgrade) if at >= upgrade.began => upgrade.effective_at(at),
            _ => Some(at),
        }
    }

    /// Returns whether the node counted as notified of a backend's latest start before `at`.
    pub(super) fn was_notified_of_start(&self, backend: BackendIndex, at: Instant) -> bool {
        let written = self.starts_written.get(&backend);
        let notified = written.and_then(|&written| self.effective_at(written));
        notified.is_some_and(|notified| notified < at)
    }

    /// Forgets that an earlier start of a backend was written, because the backend starts again.
    pub(super) fn forget_start(&mut self, backend: BackendIndex) {
        self.starts_written.remove(&backend);
    }
}

impl InvariantChecker {
    /// Records that a node's process is started, and forgets what its predecessor received from
    /// discovery.
    pub fn node_started(&mut self, node: NodeIndex) {
        self.nodes[node.0] = NodeNotifications::new(Instant::now());
    }

    /// Records that a new process of a node is started while the old one still runs.
    pub fn upgrade_started(&mut self, node: NodeIndex) {
        self.nodes[node.0].upgrade = Some(Upgrade {
            began: Instant::now(),
            ready: None,
        });
    }

    /// Records that the new process of a node's upgrade is ready.
    pub fn upgrade_ready(&mut self, node: NodeIndex) {
        if let Some(upgrade) = &mut self.nodes[node.0].upgrade {
            upgrade.ready = Some(Instant::now());
        }
    }

    /// Records that a node is signalled to reload its configuration.
    pub fn node_reloaded(&mut self, node: NodeIndex) {
        self.nodes[node.0].last_reload = Some(Instant::now());
    }

    /// Records that discovery writes to a node that a backend drains or is not listed. When the
    /// node counts as notified may be later. Only the first such call of a process counts.
    pub fn record_drain_written(&mut self, node: NodeIndex, backend: BackendIndex) {
        self.nodes[node.0]
            .drains_written
            .entry(backend)
            .or_insert_with(Instant::now);
    }

    /// Records that discovery writes a backend's start to a node. When the node counts as notified
    /// may be later. Only the first call after each start counts.
    pub fn record_start_written(&mut self, node: NodeIndex, backend: BackendIndex) {
        self.nodes[node.0]
            .starts_written
            .entry(backend)
            .or_insert_with(Instant::now);
    }

    /// Records that a backend begins to drain or is removed. Only the first call counts.
    pub fn backend_withdrawn(&mut self, backend: BackendIndex) {
        self.backends[backend.0]
            .withdrawn
            .get_or_insert_with(Instant::now);
    }

    /// Describes the problem of an attempt that reached a backend at `first_byte_at`, longer than
    /// the grace period after the node was notified that the backend drains or is removed. `None`
    /// if the attempt is allowed.
    pub(super) fn drain_problem(
        &self,
        node: NodeIndex,
        backend: BackendIndex,
        first_byte_at: Instant,
    ) -> Option<String> {
        let notified = self.drain_notified_at(node, backend)?;
        let limit = notified + self.plan.drain_grace + SOCKET_ALLOWANCE + OBSERVER_ALLOWANCE;
        if first_byte_at <= limit {
            return None;
        }
        let elapsed_ms = (first_byte_at - notified).as_millis();
        let discovery = self.discovery.describe(self.traffic_started);
        Some(format!(
            "attempt sent to backend {backend} {elapsed_ms} ms after the node was notified of its \
             drain or removal (discovery: {discovery})"
        ))
    }

    /// Returns when a node counted as notified that a backend drains or is removed, by whichever
    /// way was first: a poll, a watch, a reload, or what discovery is known to have written to it.
    /// `None` if it does not count as notified yet.
    fn drain_notified_at(&self, node: NodeIndex, backend: BackendIndex) -> Option<Instant> {
        let withdrawn = self.backends[backend.0].withdrawn?;
        let notifications = &self.nodes[node.0];
        let since = withdrawn.max(notifications.process_started);
        let reachable =
            self.discovery
                .first_period_start(since, Duration::ZERO, DiscoveryMode::is_responding);
        let by_poll = reachable.map(|at| at + NOTIFICATION_LIMIT);
        let by_reload = notifications
            .last_reload
            .filter(|_| reachable.is_some())
            .map(|reload| since.max(reload) + NOTIFICATION_LIMIT_AFTER_RELOAD);
        let written = notifications.drains_written.get(&backend).copied();
        let notified = [by_poll, self.pushed_at(since), by_reload, written]
            .into_iter()
            .flatten()
            .min()?;
        notifications.effective_at(notified)
    }

    /// Returns when a change that was made at `since` counted as pushed to watches. `None` if the
    /// plan has no pushed lists, if discovery has not been prompt for long enough since then, or if
    /// watches may still have been silent.
    fn pushed_at(&self, since: Instant) -> Option<Instant> {
        if !self.plan.discovery_pushed {
            return None;
        }
        let at = self.discovery.first_period_start(
            since,
            MIN_REACHABLE_PERIOD,
            DiscoveryMode::is_prompt,
        )?;
        // A silenced watch may miss the change, which then counts as notified only by other ways.
        let watches_work = self
            .discovery
            .last_silence_start(at)
            .is_none_or(|silence| at - silence > SILENT_WATCH_LIMIT);
        watches_work.then_some(at)
    }
}
