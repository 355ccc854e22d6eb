//! What all parts of one play share.

use crate::judge::Judge;
use crate::plan::{Conduct, Plan};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::sync::watch;

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes requests.
    Active,
    /// It drains.
    Leaving,
    /// It is not listed any more.
    Left,
}

/// A server, as it is.
pub struct Server {
    /// Its address.
    pub address: SocketAddr,
    /// What discovery says.
    pub phase: Cell<Phase>,
    /// When it started last, in Unix time by milliseconds; 0 for long ago.
    pub up_since: Cell<u64>,
    /// The list's version that changed it last.
    pub changed: Cell<u64>,
    /// What it does with requests.
    pub conduct: Cell<Conduct>,
    /// Grows with each start: connections of an earlier one are dead.
    pub start: watch::Sender<u64>,
    /// Requests in work or waiting.
    pub in_hand: Cell<usize>,
}

/// How discovery behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// It answers after this.
    Answers(std::time::Duration),
    /// It refuses.
    Down,
    /// It says nothing.
    Silent,
}

/// See the module's own words.
pub struct World {
    /// What is played.
    pub plan: Plan,
    /// Who judges it.
    pub judge: RefCell<Judge>,
    /// The servers.
    pub servers: Vec<Server>,
    /// How discovery behaves.
    pub discovery: watch::Sender<Discovery>,
    /// The list's version.
    pub revision: watch::Sender<u64>,
    /// Grows whenever all open watches are reset.
    pub resets: watch::Sender<u64>,
    /// Clients leave early.
    pub clients_leave: Cell<bool>,
    /// Peers come that send no proper request.
    pub bad_peers: Cell<bool>,
    /// The traffic is over.
    pub over: Cell<bool>,
    /// How far the wall clock by which servers are stamped was stepped, in seconds.
    pub clock_step: Cell<i64>,
    /// The network of this play within 127.0.0.0/8.
    pub network: u8,
}

impl World {
    /// An address of the play's own, with the port left to the system.
    pub fn address(&self, group: u8, member: usize) -> SocketAddr {
        let member = u8::try_from(member + 1).expect("a small fleet");
        (Ipv4Addr::new(127, self.network, group, member), 0).into()
    }

    /// Changes a server's entry in the list.
    pub fn change(&self, server: usize, change: impl FnOnce(&Server)) {
        let version = *self.revision.borrow() + 1;
        let server = &self.servers[server];
        change(server);
        server.changed.set(version);
        self.revision.send_replace(version);
    }

    /// Unix time in milliseconds, by the clock by which servers are stamped.
    pub fn stamp(&self) -> u64 {
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        let stepped =
            i64::try_from(now.as_millis()).unwrap_or(i64::MAX) + self.clock_step.get() * 1000;
        u64::try_from(stepped).unwrap_or(1)
    }
}

/// The shared world of one play.
pub type Shared = Rc<World>;
