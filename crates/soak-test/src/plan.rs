//! What one seed plays: settings, sizes and troubles. All of it is drawn before anything starts, so
//! that a seed plays the same troubles again.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::time::Duration;

/// How far a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// At will.
    Free,
    /// Within a group of servers, for a time.
    Guarded,
    /// Never, once it may have run.
    SingleShot,
}

/// Servers that drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// The first part of its path.
    pub name: &'static str,
    /// How far it may be repeated.
    pub effect: Effect,
    /// Where repeats are dropped.
    pub group: Group,
    /// For how long.
    pub window: Duration,
    /// A client's whole wait.
    pub deadline: Duration,
}

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// Serves it.
    Serve,
    /// Never answers.
    Hang,
    /// Answers 500.
    Fail,
    /// Answers that it has not run.
    TurnAway,
    /// Resets the connection once the request is whole.
    Reset,
    /// Answers half a head and resets.
    HalfAnswer,
    /// Answers what is no HTTP.
    Garbage,
    /// Serves it, and closes the connection soon after without a word.
    CloseSoon,
}

const CONDUCTS: [Conduct; 7] = [
    Conduct::Hang,
    Conduct::Fail,
    Conduct::TurnAway,
    Conduct::Reset,
    Conduct::HalfAnswer,
    Conduct::Garbage,
    Conduct::CloseSoon,
];

/// System calls of nodes that fail by chance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailingCalls {
    /// `accept`, for one connection's or the system's reasons.
    Accept,
    /// `socket` and `connect`.
    Connect,
    /// `epoll_wait` and `poll`, interrupted.
    Waits,
    /// Reads and writes that move little.
    Short,
    /// Connections that break with ETIMEDOUT or EHOSTUNREACH.
    Broken,
}

const FAILING: [FailingCalls; 5] = [
    FailingCalls::Accept,
    FailingCalls::Connect,
    FailingCalls::Waits,
    FailingCalls::Short,
    FailingCalls::Broken,
];

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// SIGTERM to nodes, which start again once they have ended.
    Terminate(Vec<usize>),
    /// SIGKILL to nodes, which start again at once.
    Kill(Vec<usize>),
    /// A new configuration with another address of discovery, and SIGHUP, for nodes.
    Reload(Vec<usize>),
    /// Servers begin to drain, and stay up.
    Drain(Vec<usize>),
    /// Servers leave the list, and go on answering.
    Remove(Vec<usize>),
    /// Servers restart under the same id.
    Restart(Vec<usize>),
    /// Servers behave like this for a while.
    Misbehave(Vec<usize>, Conduct),
    /// Discovery refuses every call and ends its watches for a while.
    DiscoveryDown,
    /// Open watches say nothing any more, and calls are not answered, for a while.
    DiscoverySilent,
    /// Calls are answered so late for a while.
    DiscoverySlow(Duration),
    /// Open watches are reset.
    WatchesReset,
    /// System calls of nodes fail for a while.
    Calls(Vec<usize>, FailingCalls),
    /// Nodes are held up for up to 0.15 s between reading events and acting on them, for a while.
    HeldUp(Vec<usize>),
    /// The wall clock of nodes is stepped by so many seconds.
    Step(Vec<usize>, i64),
    /// Clients leave before their answer, for a while.
    ClientsLeave,
    /// Peers that send no proper request come, for a while.
    BadPeers,
}

/// A trouble and its time.
#[derive(Clone, Debug)]
pub struct Episode {
    /// From the beginning of the traffic.
    pub at: Duration,
    /// For troubles that last.
    pub length: Duration,
    /// What goes wrong.
    pub trouble: Trouble,
}

/// What one seed plays.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Servers.
    pub servers: usize,
    /// Zone and cell of each server.
    pub places: Vec<(usize, u16)>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Lists are pushed, not asked for.
    pub pushed: bool,
    /// Two attempts of a request may be out together.
    pub second_copies: bool,
    /// Load reports come with answers.
    pub reports: bool,
    /// Requests a second at each node.
    pub rate: f64,
    /// Mean time in which a core of a warm server does a request.
    pub work: Duration,
    /// Until servers that drain get nothing new.
    pub drain_grace: Duration,
    /// Part of its capacity that a cold server has.
    pub cold_from: f64,
    /// Time until it has all of it.
    pub warm_up: Duration,
    /// Idle connections to servers last so long.
    pub connection_idle: Duration,
    /// How long there is traffic.
    pub traffic: Duration,
    /// What goes wrong.
    pub episodes: Vec<Episode>,
}

/// A cold server falls over when it gets more than this multiple of what it can do ...
pub const FALL_MULTIPLE: f64 = 3.0;
/// ... for so long.
pub const FALL_TIME: Duration = Duration::from_secs(1);
/// Cores of a server.
pub const CORES: f64 = 2.0;
/// Zones of the site.
pub const ZONES: [&str; 2] = ["east", "west"];

impl Plan {
    /// Draws what a seed plays.
    pub fn draw(seed: u64, nodes: usize, traffic: Duration) -> Self {
        let random = &mut SmallRng::seed_from_u64(seed);
        let servers = random.random_range(6..=10);
        let groups = [Group::All, Group::Zone, Group::Cell];
        let group = *groups.choose(random).expect("there are some");
        let deadline =
            |random: &mut SmallRng| Duration::from_millis(random.random_range(250..=2000));
        let class = |name, effect, random: &mut SmallRng| {
            let window = Duration::from_millis(random.random_range(400..=2500));
            Class {
                name,
                effect,
                group,
                window,
                deadline: deadline(random),
            }
        };
        let classes = vec![
            class("read", Effect::Free, random),
            class("post", Effect::Guarded, random),
            class("pay", Effect::SingleShot, random),
        ];
        let places = (0..servers)
            .map(|server| (server % ZONES.len(), (server / 3) as u16))
            .collect();
        let mut plan = Plan {
            seed,
            nodes,
            servers,
            places,
            classes,
            pushed: random.random_bool(0.4),
            second_copies: random.random_bool(0.5),
            reports: random.random_bool(0.7),
            rate: random.random_range(25.0..80.0),
            work: Duration::from_millis(random.random_range(15..=40)),
            drain_grace: Duration::from_millis(random.random_range(400..=800)),
            cold_from: random.random_range(0.1..0.4),
            warm_up: Duration::from_millis(random.random_range(3000..=6000)),
            connection_idle: Duration::from_millis(random.random_range(800..=4000)),
            traffic,
            episodes: Vec::new(),
        };
        // Troubles come in clusters: two or three begin within the same second.
        for _ in 0..random.random_range(1..=3) {
            let cluster = random.random_range(0.5..traffic.as_secs_f64() * 0.6);
            for _ in 0..random.random_range(2..=4) {
                let at = Duration::from_secs_f64(cluster + random.random_range(0.0..1.0));
                let length = Duration::from_secs_f64(random.random_range(0.5..3.0));
                let trouble = plan.draw_trouble(random);
                plan.episodes.push(Episode {
                    at,
                    length,
                    trouble,
                });
            }
        }
        plan.episodes.sort_by_key(|episode| episode.at);
        plan
    }

    fn draw_trouble(&self, random: &mut SmallRng) -> Trouble {
        let some = |count: usize, random: &mut SmallRng| {
            let part = random.random_range(1..=count.div_ceil(2));
            rand::seq::index::sample(random, count, part).into_vec()
        };
        let nodes = some(self.nodes, random);
        let servers = some(self.servers / 2, random);
        match random.random_range(0..17) {
            0 | 1 => Trouble::Terminate(nodes),
            2 => Trouble::Kill(nodes),
            3 | 4 => Trouble::Reload((0..self.nodes).collect()),
            5 | 6 => Trouble::Drain(servers),
            7 => Trouble::Remove(servers),
            8 => Trouble::Restart(servers),
            9 => Trouble::Misbehave(servers, *CONDUCTS.choose(random).expect("there are some")),
            10 => Trouble::DiscoveryDown,
            11 => Trouble::DiscoverySilent,
            12 => {
                if random.random_bool(0.5) {
                    Trouble::DiscoverySlow(Duration::from_millis(random.random_range(100..=1500)))
                } else {
                    Trouble::WatchesReset
                }
            }
            13 => Trouble::Calls(nodes, *FAILING.choose(random).expect("there are some")),
            14 => Trouble::HeldUp(nodes),
            15 => Trouble::Step(
                nodes,
                *[3600, -3600, 5, -5].choose(random).expect("there are some"),
            ),
            _ => {
                if random.random_bool(0.5) {
                    Trouble::ClientsLeave
                } else {
                    Trouble::BadPeers
                }
            }
        }
    }

    /// The settings of a node.
    pub fn settings(&self) -> Value {
        let nanoseconds = |time: Duration| time.as_nanos() as u64;
        let profile = |class: &Class| {
            let effect = match class.effect {
                Effect::Free => "free",
                Effect::Guarded => "guarded",
                Effect::SingleShot => "single_shot",
            };
            let scope = match class.group {
                Group::All => "all",
                Group::Zone => "zone",
                Group::Cell => "cell",
            };
            json!({
                "name": class.name, "effect": effect, "key_scope": scope,
                "importance": 1.0, "late_worth": 0.0,
                "promise_ns": nanoseconds(class.deadline) / 2, "deadline_ns": nanoseconds(class.deadline),
                "repeat_window_ns": nanoseconds(class.window),
            })
        };
        let how = if self.reports { "piggyback" } else { "silent" };
        json!({
            "balancers": self.nodes, "zone": 0, "zones": ZONES, "kinds": ["std"],
            "registry_mode": if self.pushed { "automatic" } else { "subscribe" },
            "profiles": self.classes.iter().map(profile).collect::<Vec<_>>(), "tenants": [],
            "limits": {"try_limit": 4, "conn_idle_ns": nanoseconds(self.connection_idle),
                       "connect_timeout_ns": 250_000_000u64, "may_cancel": true, "may_probe": false,
                       "second_copies": self.second_copies, "retry_after": true,
                       "max_retry_after_ns": 500_000_000u64},
            "report": {"how": how, "fields": ["utilization", "backlog"]},
            "rules": {"ask_every_ns": 10_000_000_000u64, "cold_from": self.cold_from,
                      "drain_grace_ns": nanoseconds(self.drain_grace), "fall_multiple": FALL_MULTIPLE,
                      "overload_for_ns": nanoseconds(FALL_TIME), "warm_up_ns": nanoseconds(self.warm_up)},
        })
    }

    /// The longest that a client waits.
    pub fn longest_deadline(&self) -> Duration {
        self.classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or_default()
    }
}
