//! [`Invariant::SafeDrain`](super::Invariant::SafeDrain): no attempt starts at a backend longer than
//! the grace period after its node was notified that the backend drains or is removed.

use super::{InvariantChecker, OBSERVER_ALLOWANCE, SOCKET_ALLOWANCE};
use crate::discovery_mode::DiscoveryMode;
use crate::plan::{BackendIndex, NodeIndex};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A node counts as notified of a change this long after discovery had it and could be reached.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);
/// A node counts as notified of a change this long after a reload.
const NOTIFICATION_LIMIT_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// What discovery tells during an upgrade binds this long after the new process was ready.
const UPGRADE_ALLOWANCE: Duration = Duration::from_secs(2);
/// A watch that was silent may miss changes for this long after the silence began.
const SILENT_WATCH_LIMIT: Duration = Duration::from_secs(12);
/// Nodes call discovery ten times a second: they may miss one that is up for less time.
const MIN_REACHABLE_PERIOD: Duration = Duration::from_millis(250);

/// What discovery has written to a node's process.
#[derive(Clone)]
pub(super) struct NodeNotifications {
    process_started: Instant,
    last_reload: Option<Instant>,
    /// When it was written that a backend drains or is removed, by backend.
    drains_written: HashMap<BackendIndex, Instant>,
    /// When a backend's start was written, by backend.
    starts_written: HashMap<BackendIndex, Instant>,
    upgrade: Option<Upgrade>,
}

/// The latest upgrade of a node: what is written to one of its processes the other need not know.
#[derive(Clone, Copy)]
struct Upgrade {
    began: Instant,
    /// When the new process was ready.
    ready: Option<Instant>,
}

impl Upgrade {
    /// When a notification binds that came at `at`; `None` while that is not known.
    fn binds_at(self, at: Instant) -> Option<Instant> {
        let binds_from = self.ready? + UPGRADE_ALLOWANCE;
        Some(at.max(binds_from))
    }
}

impl NodeNotifications {
    /// Of a process that starts now.
    pub(super) fn new(process_started: Instant) -> Self {
        NodeNotifications {
            process_started,
            last_reload: None,
            drains_written: HashMap::new(),
            starts_written: HashMap::new(),
            upgrade: None,
        }
    }

    /// When a notification binds that came at `at`; `None` while that is not known.
    fn binds_at(&self, at: Instant) -> Option<Instant> {
        match self.upgrade {
            Some(upgrade) if at >= upgrade.began => upgrade.binds_at(at),
            _ => Some(at),
        }
    }

    /// Whether a backend's start was written before `at`.
    pub(super) fn knew_start(&self, backend: BackendIndex, at: Instant) -> bool {
        let written = self.starts_written.get(&backend);
        let known = written.and_then(|&written| self.binds_at(written));
        known.is_some_and(|known| known < at)
    }

    /// Forgets a backend's earlier start.
    pub(super) fn forget_start(&mut self, backend: BackendIndex) {
        self.starts_written.remove(&backend);
    }
}

impl InvariantChecker {
    /// A node's process starts.
    pub fn node_started(&mut self, node: NodeIndex) {
        self.nodes[node.0] = NodeNotifications::new(Instant::now());
    }

    /// A new process of a node is started beside the old one.
    pub fn upgrade_started(&mut self, node: NodeIndex) {
        self.nodes[node.0].upgrade = Some(Upgrade {
            began: Instant::now(),
            ready: None,
        });
    }

    /// The new process of an upgrade is ready.
    pub fn upgrade_ready(&mut self, node: NodeIndex) {
        if let Some(upgrade) = &mut self.nodes[node.0].upgrade {
            upgrade.ready = Some(Instant::now());
        }
    }

    /// A node was signalled to read its configuration again.
    pub fn node_reloaded(&mut self, node: NodeIndex) {
        self.nodes[node.0].last_reload = Some(Instant::now());
    }

    /// Discovery has written to a node that a backend drains or is removed.
    pub fn drain_written(&mut self, node: NodeIndex, backend: BackendIndex) {
        self.nodes[node.0]
            .drains_written
            .entry(backend)
            .or_insert_with(Instant::now);
    }

    /// Discovery has written a backend's start to a node.
    pub fn start_written(&mut self, node: NodeIndex, backend: BackendIndex) {
        self.nodes[node.0]
            .starts_written
            .entry(backend)
            .or_insert_with(Instant::now);
    }

    /// A backend begins to drain or is removed.
    pub fn backend_taken_out(&mut self, backend: BackendIndex) {
        self.backends[backend.0]
            .taken_out
            .get_or_insert_with(Instant::now);
    }

    /// What is wrong with an attempt that began at `first_byte`, if the backend drains.
    pub(super) fn drain_problem(
        &self,
        node: NodeIndex,
        backend: BackendIndex,
        first_byte: Instant,
    ) -> Option<String> {
        let notified = self.notified_of_drain(node, backend)?;
        let limit = notified + self.plan.drain_grace + SOCKET_ALLOWANCE + OBSERVER_ALLOWANCE;
        if first_byte <= limit {
            return None;
        }
        let late = (first_byte - notified).as_millis();
        let discovery = self.discovery.describe(self.traffic_started);
        Some(format!(
            "sent to backend {backend}, {late} ms after the node was notified (discovery: {discovery})"
        ))
    }

    /// When a node counted as notified that a backend drains or is removed, if it did.
    fn notified_of_drain(&self, node: NodeIndex, backend: BackendIndex) -> Option<Instant> {
        let taken_out = self.backends[backend.0].taken_out?;
        let notifications = &self.nodes[node.0];
        let since = taken_out.max(notifications.process_started);
        let reachable =
            self.discovery
                .first_period(since, Duration::ZERO, DiscoveryMode::is_responding);
        let by_poll = reachable.map(|at| at + NOTIFICATION_LIMIT);
        let by_reload = notifications
            .last_reload
            .filter(|_| reachable.is_some())
            .map(|reload| since.max(reload) + NOTIFICATION_LIMIT_AFTER_RELOAD);
        let written = notifications.drains_written.get(&backend).copied();
        let notified = [by_poll, self.pushed_after(since), by_reload, written]
            .into_iter()
            .flatten()
            .min()?;
        notifications.binds_at(notified)
    }

    /// When a change since `since` counted as pushed, where lists are pushed.
    fn pushed_after(&self, since: Instant) -> Option<Instant> {
        if !self.plan.discovery_pushed {
            return None;
        }
        let at =
            self.discovery
                .first_period(since, MIN_REACHABLE_PERIOD, DiscoveryMode::is_prompt)?;
        // What a silent watch misses has longer.
        let watches_work = self
            .discovery
            .last_silence(at)
            .is_none_or(|silence| at - silence > SILENT_WATCH_LIMIT);
        watches_work.then_some(at)
    }
}
