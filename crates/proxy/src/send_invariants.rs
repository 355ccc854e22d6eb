//! What the rules forbid, in one place: whether an attempt may begin, a connection may be closed,
//! the process may end.
//!
//! Every path asks right before the act, with what holds at that moment; nothing here decides what
//! is wise. What a rule has held back is counted by rule, and so is what the balancer asked for
//! although no rule allows it: a violation, which builds with debug assertions don't survive.

use balancer::{Idempotency, KeyScope};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::time::Duration;
use tokio::time::Instant;

/// An attempt tells its server how much time is left. What was told longer ago than this is not
/// true any more: the rules allow 0.15 s in all.
const TOLD_IN_TIME: Duration = Duration::from_millis(100);

/// A rule that holds something back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// The server drains, has left or is left out, or is another process by now.
    Drain,
    /// The client has its answer, or has left.
    Answered,
    /// The request's time is over, or what was to be told of it is not true any more.
    Deadline,
    /// It may have run, and its class allows no repeat there.
    Repeat,
    /// The time is over in which repeats are dropped.
    Window,
    /// Another attempt is out, and two may not be.
    SecondCopy,
    /// Something unread, or a request in hand, is on the connection.
    Close,
    /// Requests are open still.
    End,
}

/// Where a server stands, for the groups that drop repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendIdentity {
    /// Its zone.
    pub zone: u8,
    /// Its cell.
    pub cell: u16,
}

/// An earlier attempt of the same request.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    /// Where it went.
    pub place: BackendIdentity,
    /// It has not ended.
    pub out: bool,
    /// It may have run, or may yet.
    pub may_have_run: bool,
}

/// What is known of an attempt right before its first byte goes out.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts {
    /// The server takes new requests, and is the process that was connected to.
    pub server_takes_new: bool,
    /// The client waits for its answer still.
    pub client_waits: bool,
    /// When the request's time ends. None: it has not begun.
    pub until: Option<Instant>,
    /// When it was reckoned what the server is told of that. None: it was not yet.
    pub told: Option<Instant>,
    /// Until when it may be repeated, if it is a repeat of one that may have run and is so limited.
    pub repeat_by: Option<Instant>,
}

/// Whether an attempt may begin at this moment, by what changes while it waits for a connection.
pub fn may_begin(now: Instant, facts: &AttemptFacts) -> Result<(), Invariant> {
    if !facts.server_takes_new {
        return Err(Invariant::Drain);
    }
    if !facts.client_waits {
        return Err(Invariant::Answered);
    }
    let too_old = facts.told.is_some_and(|told| now > told + TOLD_IN_TIME);
    if too_old || facts.until.is_some_and(|until| now >= until) {
        return Err(Invariant::Deadline);
    }
    if facts.repeat_by.is_some_and(|by| now >= by) {
        return Err(Invariant::Window);
    }
    Ok(())
}

/// Whether a class allows one more attempt at a server, after those that were.
pub fn may_repeat(
    effect: Idempotency,
    second_copies: bool,
    to: BackendIdentity,
    earlier: &[PriorAttempt],
) -> Result<(), Invariant> {
    if !second_copies && earlier.iter().any(|attempt| attempt.out) {
        return Err(Invariant::SecondCopy);
    }
    let Some(risky) = earlier
        .iter()
        .find(|attempt| attempt.out || attempt.may_have_run)
    else {
        return Ok(());
    };
    let allowed = match effect {
        Idempotency::Idempotent
        | Idempotency::Keyed {
            scope: KeyScope::All,
            ..
        } => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed {
            scope: KeyScope::Zone,
            ..
        } => risky.place.zone == to.zone,
        Idempotency::Keyed {
            scope: KeyScope::Cell,
            ..
        } => risky.place.cell == to.cell,
    };
    allowed.then_some(()).ok_or(Invariant::Repeat)
}

/// Whether the node may close a client's connection of its own accord.
pub fn may_close(request_in_hand: bool, unread: bool) -> Result<(), Invariant> {
    if request_in_hand || unread {
        Err(Invariant::Close)
    } else {
        Ok(())
    }
}

/// Whether the process may end, with so many requests open.
pub fn may_end(open_requests: usize) -> Result<(), Invariant> {
    match open_requests {
        0 => Ok(()),
        _ => Err(Invariant::End),
    }
}

/// Counts by rule, for the log.
#[derive(Default)]
pub struct InvariantCounts {
    withheld: RefCell<BTreeMap<Invariant, u32>>,
    violations: RefCell<BTreeMap<Invariant, u32>>,
}

impl InvariantCounts {
    /// Something was held back in time.
    pub fn withheld(&self, rule: Invariant) {
        *self.withheld.borrow_mut().entry(rule).or_default() += 1;
    }

    /// Something was asked for, or done, that no rule allows.
    pub fn violated(&self, rule: Invariant) {
        *self.violations.borrow_mut().entry(rule).or_default() += 1;
    }

    /// Appends to a line what was counted since this was last asked; nothing where nothing was.
    pub fn write_to(&self, line: &mut String) -> fmt::Result {
        for (name, counts) in [
            ("withheld", &self.withheld),
            ("violations", &self.violations),
        ] {
            for (rule, count) in std::mem::take(&mut *counts.borrow_mut()) {
                write!(line, " {name}_{rule:?}={count}")?;
            }
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "send_invariants_tests.rs"]
mod tests;
