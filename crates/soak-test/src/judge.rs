//! The rules of the pages, as seen from outside the nodes: by clients, servers and discovery
//! together.

use crate::http::Connection;
use crate::plan::{Class, Effect, Group, Plan, CORES, FALL_MULTIPLE, FALL_TIME};
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::rc::Weak;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// What the observer's own delays are allowed to add to any time.
pub const SLACK: Duration = Duration::from_millis(80);
/// Every time limit is so much longer on sockets.
const SOCKETS: Duration = Duration::from_millis(50);
/// Nothing begins later than this after its client has closed.
const CLIENT_GONE: Duration = Duration::from_millis(100);
/// The time that an attempt tells its server may be so much more than what is left.
const TOLD_MORE: Duration = Duration::from_millis(150);
/// A final answer comes no later than this after its time.
pub const ANSWER_LATE: Duration = Duration::from_millis(500);
/// A change counts as told so long after discovery had it and could be reached.
const TOLD_AT_LAST: Duration = Duration::from_secs(6);
/// The same after a new configuration.
const TOLD_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// A discovery that is back for less than this between two troubles can't be called by a node that
/// calls ten times a second.
const LEAST_SPELL: Duration = Duration::from_millis(250);

/// What a node has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one final answer in time, and nothing begins for a client that has gone.
    Lost,
    /// Nothing runs more often than its class allows, and refusals are true.
    Duplicate,
    /// Nothing new goes to servers that drain or are gone.
    Drain,
    /// No cold server is pushed over.
    SlowStart,
    /// Servers are told no more time than is left.
    Deadline,
    /// Nothing reaches servers that no client sent, nor clients that no server answered.
    Invented,
    /// Peers that send no proper request get an error or a close in time.
    BadPeer,
    /// A node starts, is ready in time, and ends only when it is told to.
    Process,
}

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// From the beginning of the traffic.
    pub at: Duration,
    /// What happened.
    pub story: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} at {:.3} s: {}",
            self.rule,
            self.at.as_secs_f64(),
            self.story
        )
    }
}

/// What is known of whether an attempt has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It surely has not, and will not.
    Never,
    /// It may have, or may yet.
    Maybe,
}

struct Attempt {
    server: usize,
    first: Instant,
    ran: Ran,
    answered: bool,
    socket: Weak<TcpStream>,
}

impl Attempt {
    fn is_out(&self) -> bool {
        !self.answered
            && self
                .socket
                .upgrade()
                .is_some_and(|socket| Connection::is_open(&socket))
    }
}

struct Request {
    class: usize,
    node: usize,
    /// When its client had written its last byte.
    sent: Option<Instant>,
    wait: Duration,
    client_gone: Option<Instant>,
    attempts: Vec<Attempt>,
}

/// When discovery could be reached by a node, and spoke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Voice {
    /// It answers calls and tells changes.
    Speaks,
    /// It does so, but lets calls wait for longer than a node has to hear of what it missed.
    Slow,
    /// It refuses calls, and tells nothing.
    Down,
    /// Calls and watches stay open, and nothing comes.
    Silent,
}

/// What a node's process has been told, and since when it lives.
#[derive(Clone)]
struct Listener {
    began: Instant,
    /// When a new configuration was signalled last.
    reloaded: Option<Instant>,
    /// When it was written that a server takes nothing new.
    written: HashMap<usize, Instant>,
    /// When it was written that a server has started.
    starts: HashMap<usize, Instant>,
}

#[derive(Default)]
struct ServerRecord {
    /// When it began to drain or left the list.
    closed: Option<Instant>,
    /// When it started last, of one that did so during the play.
    started: Option<Instant>,
    arrivals: VecDeque<(Instant, usize)>,
    overloaded: bool,
}

/// Totals of one play.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Requests sent.
    pub requests: u64,
    /// Answered with 200.
    pub served: u64,
    /// Answered with 429 or 503.
    pub refused: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// Attempts that reached servers.
    pub attempts: u64,
    /// Requests whose connection was closed unread, reset with its node, or left by their clients.
    pub unanswered: u64,
}

/// Judges one play.
pub struct Judge {
    began: Instant,
    classes: Vec<Class>,
    places: Vec<(usize, u16)>,
    plan: Plan,
    requests: HashMap<String, Request>,
    nodes: Vec<Listener>,
    servers: Vec<ServerRecord>,
    /// What discovery does, and since when.
    voices: Vec<(Instant, Voice)>,
    /// What was counted.
    pub totals: Totals,
    /// The broken rules.
    pub violations: Vec<Violation>,
    /// The longest that the observer itself was late.
    pub lag: Cell<Duration>,
}

impl Judge {
    /// Of a play that begins now.
    pub fn new(plan: &Plan) -> Self {
        let now = Instant::now();
        let listener = Listener {
            began: now,
            reloaded: None,
            written: HashMap::new(),
            starts: HashMap::new(),
        };
        Judge {
            began: now,
            classes: plan.classes.clone(),
            places: plan.places.clone(),
            requests: HashMap::new(),
            nodes: vec![listener; plan.nodes],
            servers: (0..plan.servers).map(|_| ServerRecord::default()).collect(),
            voices: vec![(now, Voice::Speaks)],
            totals: Totals::default(),
            violations: Vec::new(),
            lag: Cell::default(),
            plan: plan.clone(),
        }
    }

    /// The traffic begins now.
    pub fn traffic_begins(&mut self) {
        self.began = Instant::now();
    }

    /// Notes a broken rule.
    pub fn violated(&mut self, rule: Rule, story: String) {
        let at = self.began.elapsed();
        self.violations.push(Violation { rule, at, story });
    }

    // ---- nodes and discovery ----
    /// A process of a node begins.
    pub fn node_begins(&mut self, node: usize) {
        self.nodes[node] = Listener {
            began: Instant::now(),
            reloaded: None,
            written: HashMap::new(),
            starts: HashMap::new(),
        };
    }

    /// A node was told to read its configuration again.
    pub fn node_reloads(&mut self, node: usize) {
        self.nodes[node].reloaded = Some(Instant::now());
    }

    /// Discovery has written to a node that a server takes nothing new.
    pub fn told_closed(&mut self, node: usize, server: usize) {
        self.nodes[node]
            .written
            .entry(server)
            .or_insert_with(Instant::now);
    }

    /// Discovery has written a server's start to a node.
    pub fn told_start(&mut self, node: usize, server: usize) {
        self.nodes[node]
            .starts
            .entry(server)
            .or_insert_with(Instant::now);
    }

    /// Discovery does something else from now on.
    pub fn discovery_turns(&mut self, voice: Voice) {
        self.voices.push((Instant::now(), voice));
    }

    /// A server begins to drain, or leaves the list.
    pub fn server_closes(&mut self, server: usize) {
        self.servers[server].closed.get_or_insert_with(Instant::now);
    }

    /// A server starts again.
    pub fn server_starts(&mut self, server: usize) {
        let record = &mut self.servers[server];
        record.started = Some(Instant::now());
        record.arrivals.clear();
        for node in &mut self.nodes {
            node.starts.remove(&server);
        }
    }

    /// The part of its capacity that a server has at this moment.
    pub fn warmth(&self, server: usize, now: Instant) -> f64 {
        let Some(started) = self.servers[server].started else {
            return 1.0;
        };
        let age = (now - started).as_secs_f64() / self.plan.warm_up.as_secs_f64();
        (self.plan.cold_from + (1.0 - self.plan.cold_from) * age).min(1.0)
    }

    /// The first moment from `since` on at which discovery spoke in one of these ways, for so long
    /// at least.
    fn spoke(&self, since: Instant, least: Duration, how: &[Voice]) -> Option<Instant> {
        let ends = self
            .voices
            .iter()
            .skip(1)
            .map(|voice| Some(voice.0))
            .chain([None]);
        let mut spells = self.voices.iter().zip(ends);
        let long_enough = |begin: Instant, end: Option<Instant>| {
            end.is_none_or(|end| end > since && end >= begin.max(since) + least)
        };
        let spell =
            spells.find(|(voice, end)| how.contains(&voice.1) && long_enough(voice.0, *end));
        spell.map(|(voice, _)| voice.0.max(since))
    }

    /// What discovery did when, for a story.
    fn tell_voices(&self) -> String {
        let tell = |(at, voice): &(Instant, Voice)| {
            format!(
                "{voice:?} from {} ms",
                at.saturating_duration_since(self.began).as_millis()
            )
        };
        self.voices.iter().map(tell).collect::<Vec<_>>().join(", ")
    }

    /// When it counted as told to a node that a server takes nothing new, if it did.
    fn counted_as_told(&self, node: usize, server: usize) -> Option<Instant> {
        let closed = self.servers[server].closed?;
        let listener = &self.nodes[node];
        let since = closed.max(listener.began);
        let spoke = self.spoke(since, Duration::ZERO, &[Voice::Speaks, Voice::Slow]);
        let reachable = spoke.map(|at| at + TOLD_AT_LAST);
        let heard = self.spoke(since, LEAST_SPELL, &[Voice::Speaks]);
        let pushed = heard.filter(|at| self.plan.pushed && self.was_not_silent(*at));
        let reloaded = listener
            .reloaded
            .filter(|_| spoke.is_some())
            .map(|at| since.max(at) + TOLD_AFTER_RELOAD);
        let written = listener.written.get(&server).copied();
        [reachable, pushed, reloaded, written]
            .into_iter()
            .flatten()
            .min()
    }

    /// Whether discovery had not been silent right before: what a silent watch misses has longer.
    fn was_not_silent(&self, at: Instant) -> bool {
        let recent = |voice: &&(Instant, Voice)| voice.0 <= at && voice.1 == Voice::Silent;
        self.voices
            .iter()
            .rfind(recent)
            .is_none_or(|voice| at - voice.0 > TOLD_AT_LAST + TOLD_AT_LAST)
    }

    // ---- requests ----
    /// A client begins to write a request.
    pub fn request_begins(&mut self, id: &str, class: usize, node: usize, wait: Duration) {
        self.totals.requests += 1;
        let request = Request {
            class,
            node,
            sent: None,
            wait,
            client_gone: None,
            attempts: Vec::new(),
        };
        self.requests.insert(id.to_owned(), request);
    }

    /// A client has written a request's last byte.
    pub fn request_sent(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.sent = Some(Instant::now());
        }
    }

    /// A client has closed its connection without an answer.
    pub fn client_left(&mut self, id: &str) {
        self.totals.unanswered += 1;
        if let Some(request) = self.requests.get_mut(id) {
            request.client_gone = Some(Instant::now());
        }
    }

    /// Whether any attempt of a request has reached a server.
    pub fn was_forwarded(&self, id: &str) -> bool {
        self.requests
            .get(id)
            .is_some_and(|request| !request.attempts.is_empty())
    }

    /// What became of a request, told as a story.
    pub fn story(&self, id: &str) -> String {
        let Some(request) = self.requests.get(id) else {
            return format!("request {id}, which no client sent");
        };
        let ms = |at: Instant| at.saturating_duration_since(self.began).as_secs_f64() * 1e3;
        let class = &self.classes[request.class];
        let mut story = format!("request {id} ({}) at node {}", class.name, request.node);
        if let Some(sent) = request.sent {
            story += &format!(
                ", sent {:.0} ms, wait {} ms",
                ms(sent),
                request.wait.as_millis()
            );
        }
        if let Some(gone) = request.client_gone {
            story += &format!(", client gone {:.0} ms", ms(gone));
        }
        for attempt in &request.attempts {
            let (server, first) = (attempt.server, ms(attempt.first));
            story += &format!(
                ", attempt at server {server} {first:.0} ms ({:?})",
                attempt.ran
            );
        }
        story
    }

    /// A request has reached a server. Returns the attempt's number.
    pub fn attempt(
        &mut self,
        id: &str,
        server: usize,
        first: Instant,
        told: Option<Duration>,
        socket: Weak<TcpStream>,
    ) -> Option<usize> {
        self.totals.attempts += 1;
        let Some(request) = self.requests.get(id) else {
            self.violated(
                Rule::Invented,
                format!("server {server} got request {id}, which no client sent"),
            );
            return None;
        };
        let mut broken = Vec::new();
        if let Some(problem) = self.repeat_problem(request, server, first) {
            broken.push((Rule::Duplicate, problem));
        }
        if let Some(gone) = request
            .client_gone
            .filter(|gone| first > *gone + CLIENT_GONE + SOCKETS + SLACK)
        {
            let late = (first - gone).as_millis();
            broken.push((
                Rule::Lost,
                format!("attempt {late} ms after its client had gone"),
            ));
        }
        match told {
            None => broken.push((Rule::Deadline, "no X-Timeout told to a server".to_owned())),
            Some(told) => {
                let passed = request
                    .sent
                    .map_or(Duration::ZERO, |sent| first.saturating_duration_since(sent));
                let left = request.wait.saturating_sub(passed);
                if told > left + TOLD_MORE + SLACK {
                    let (told, left) = (told.as_millis(), left.as_millis());
                    broken.push((
                        Rule::Deadline,
                        format!("{told} ms told to a server, {left} ms left"),
                    ));
                }
            }
        }
        let node = request.node;
        if let Some(at) = self.counted_as_told(node, server) {
            if first > at + self.plan.drain_grace + SOCKETS + SLACK {
                let late = (first - at).as_millis();
                broken.push((
                    Rule::Drain,
                    format!(
                        "sent to server {server}, {late} ms after the node was told (discovery: {})",
                        self.tell_voices()
                    ),
                ));
            }
        }
        if let Some(problem) = self.slow_start_problem(server, node, first) {
            broken.push((Rule::SlowStart, problem));
        }
        let request = self
            .requests
            .get_mut(id)
            .expect("it was there a moment ago");
        request.attempts.push(Attempt {
            server,
            first,
            ran: Ran::Maybe,
            answered: false,
            socket,
        });
        let attempt = request.attempts.len() - 1;
        for (rule, problem) in broken {
            let story = self.story(id);
            self.violated(rule, format!("{problem}: {story}"));
        }
        Some(attempt)
    }

    /// What is wrong with one more attempt, if anything is.
    fn repeat_problem(&self, request: &Request, server: usize, first: Instant) -> Option<String> {
        let class = &self.classes[request.class];
        if !self.plan.second_copies && request.attempts.iter().any(Attempt::is_out) {
            return Some("a second copy is out".to_owned());
        }
        let earlier = request
            .attempts
            .iter()
            .find(|attempt| attempt.ran == Ran::Maybe)?;
        match class.effect {
            Effect::Free => None,
            Effect::SingleShot => {
                Some("an unsafe request is sent again that may have run".to_owned())
            }
            Effect::Guarded => {
                let ((zone, cell), (new_zone, new_cell)) =
                    (self.places[earlier.server], self.places[server]);
                let same = match class.group {
                    Group::All => true,
                    Group::Zone => zone == new_zone,
                    Group::Cell => cell == new_cell,
                };
                let late = first > earlier.first + class.window + SOCKETS + SLACK;
                match (same, late) {
                    (false, _) => Some("a keyed request is sent to another group".to_owned()),
                    (true, true) => {
                        Some("a keyed request is sent again after its window".to_owned())
                    }
                    (true, false) => None,
                }
            }
        }
    }

    /// Counts an attempt at a cold server, and says whether it has fallen over by what nodes sent
    /// that had been told.
    fn slow_start_problem(&mut self, server: usize, node: usize, now: Instant) -> Option<String> {
        let warmth = self.warmth(server, now);
        let record = &mut self.servers[server];
        if warmth >= 1.0 || record.overloaded {
            return None;
        }
        record.arrivals.push_back((now, node));
        while record
            .arrivals
            .front()
            .is_some_and(|arrival| now - arrival.0 > FALL_TIME)
        {
            record.arrivals.pop_front();
        }
        let capacity = CORES / self.plan.work.as_secs_f64() * warmth;
        let allowed = FALL_MULTIPLE * capacity * FALL_TIME.as_secs_f64();
        let chance = if allowed < 30.0 {
            3.0 * allowed.sqrt() + 3.0
        } else {
            2.0 * allowed.sqrt() + 2.0
        };
        let got = record.arrivals.len();
        if got as f64 <= allowed + chance {
            return None;
        }
        record.overloaded = true;
        let knew = |arrival: &&(Instant, usize)| {
            self.nodes[arrival.1]
                .starts
                .get(&server)
                .is_some_and(|told| *told < arrival.0)
        };
        let told = record.arrivals.iter().filter(knew).count();
        (told * 3 > got * 2)
            .then(|| format!("cold server {server} got {got} of {allowed:.0} allowed"))
    }

    /// How an attempt ended at its server.
    pub fn attempt_ended(&mut self, id: &str, attempt: usize, ran: Ran) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        (
            request.attempts[attempt].ran,
            request.attempts[attempt].answered,
        ) = (ran, true);
    }

    /// A request has its final answer.
    pub fn answered(&mut self, id: &str, status: u16, body: &[u8]) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let by = request
            .sent
            .map(|sent| sent + request.wait + ANSWER_LATE + SOCKETS + SLACK);
        if by.is_some_and(|by| Instant::now() > by) {
            let story = self.story(id);
            self.violated(
                Rule::Lost,
                format!("the answer {status} came too late: {story}"),
            );
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let class = &self.classes[request.class];
        let risky = request
            .attempts
            .iter()
            .any(|attempt| attempt.ran == Ran::Maybe);
        let harmless = match class.effect {
            Effect::Free => true,
            Effect::Guarded => class.group == Group::All || !risky,
            Effect::SingleShot => !risky,
        };
        let problem = match status {
            200 if !body.starts_with(format!("{id} ").as_bytes()) => {
                Some((Rule::Invented, "served with what no server made for it"))
            }
            429 | 503 if !harmless => Some((Rule::Duplicate, "refused although it may have run")),
            _ => None,
        };
        if let Some((rule, problem)) = problem {
            let story = self.story(id);
            self.violated(rule, format!("{problem}: {story}"));
        }
        match status {
            200 => self.totals.served += 1,
            429 | 503 => self.totals.refused += 1,
            _ => self.totals.failed += 1,
        }
    }

    /// A request has no answer, and its client has done nothing to deserve that.
    pub fn lost(&mut self, id: &str, why: &str) {
        let story = self.story(id);
        self.violated(Rule::Lost, format!("{why}: {story}"));
    }

    /// A request was not read, or its node was killed: its client may send it again.
    pub fn excused(&mut self) {
        self.totals.unanswered += 1;
    }
}
