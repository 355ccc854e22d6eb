//! Clients: an open loop of requests at each node over connections that are kept, clients that
//! leave early, and peers that send no proper request.

use crate::http::{Connection, End, Message};
use crate::judge::{Rule, ANSWER_LATE, SLACK};
use crate::node::Node;
use crate::plan::Effect;
use crate::world::Shared;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// A connection is kept for another request by this chance.
const KEPT: f64 = 0.9;
/// So many clients rest on their connections at each node, for about so long.
const RESTING: usize = 12;
const RESTED: Duration = Duration::from_secs(5);
/// Some clients write a request in two parts, with a pause between them.
const IN_PARTS: f64 = 0.05;
const PART_PAUSE: Duration = Duration::from_millis(60);
/// Of clients that leave, so many leave each request.
const LEAVING: f64 = 0.4;
/// A reset follows the end of a connection within this where something on it was not read.
const RESET_FOLLOWS: Duration = Duration::from_millis(1500);
/// Bad peers are owed an error or a close within this.
const BAD_PEER: Duration = Duration::from_millis(3050);
/// What peers send that is no proper request.
const BAD: [&str; 6] = [
    "",
    "GET /read HT",
    "GET /read HTTP/1.1\r\nHost: a\r\n",
    "nonsense\r\n\r\n",
    "POST /pay HTTP/1.1\r\nHost: a\r\nX-Request-ID: bad\r\nX-Timeout: 900m\r\nContent-Length: 100\r\n\r\nabc",
    "GET /read HTTP/1.1\r\nHost: a\r\nX-Timeout: 900m\r\n\r\n",
];

/// The clients of one node.
pub struct Clients {
    world: Shared,
    node: Rc<Node>,
    idle: RefCell<Vec<Connection>>,
    random: RefCell<SmallRng>,
}

impl Clients {
    fn new(world: Shared, node: Rc<Node>, kind: u64) -> Rc<Self> {
        let seed = world
            .plan
            .seed
            .wrapping_mul(0x9e37_79b9)
            .wrapping_add(node.index as u64 * 2 + kind);
        let random = RefCell::new(SmallRng::seed_from_u64(seed));
        Rc::new(Clients {
            world,
            node,
            idle: RefCell::default(),
            random,
        })
    }

    /// Clients that rest until about the time at which the node ends a resting connection, and then
    /// ask again on it.
    pub async fn rest(world: Shared, node: Rc<Node>) {
        let clients = Clients::new(world, node, 1);
        let mut tasks = Vec::new();
        for number in 0..RESTING {
            let one = clients.clone();
            tasks.push(spawn_local(async move {
                sleep(Duration::from_secs_f64(one.uniform())).await;
                for turn in 0.. {
                    let Some(connection) = one.connection().await else {
                        return;
                    };
                    let kept = one
                        .ask(&format!("{}-r{number}-{turn}", one.node.index), connection)
                        .await;
                    if one.world.over.get() {
                        return;
                    }
                    sleep(RESTED.mul_f64(0.97 + 0.06 * one.uniform())).await;
                    let Some(connection) = kept else { continue };
                    // Whatever the connection looks like: the node may be closing it at this
                    // moment.
                    one.ask(&format!("{}-r{number}-{turn}b", one.node.index), connection)
                        .await;
                }
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
    }

    /// Sends requests until the traffic is over, and waits for the last answers.
    pub async fn run(world: Shared, node: Rc<Node>) {
        let clients = Clients::new(world, node, 0);
        let mut number = 0;
        let mut tasks = Vec::new();
        while !clients.world.over.get() {
            let pause = -clients.uniform().max(1e-9).ln() / clients.world.plan.rate;
            sleep(Duration::from_secs_f64(pause)).await;
            // The front sends nothing new to a node that has been down for long.
            if !clients.node.takes_new() {
                continue;
            }
            number += 1;
            let id = format!("{}-{number}", clients.node.index);
            let one = clients.clone();
            if clients.world.bad_peers.get() && clients.uniform() < 0.3 {
                tasks.push(spawn_local(async move { one.bad_peer(number).await }));
            } else {
                tasks.push(spawn_local(async move { one.request(&id).await }));
            }
        }
        for task in tasks {
            let _ = task.await;
        }
    }

    fn uniform(&self) -> f64 {
        self.random.borrow_mut().random_range(0.0..1.0)
    }

    fn idle_connection(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        std::iter::from_fn(|| idle.pop()).find(|connection| Connection::is_open(&connection.socket))
    }

    async fn connection(&self) -> Option<Connection> {
        if let Some(connection) = self.idle_connection() {
            return Some(connection);
        }
        let connecting = timeout(
            Duration::from_secs(1),
            TcpStream::connect(self.node.address),
        )
        .await;
        connecting.ok()?.ok().map(Connection::new)
    }

    async fn request(&self, id: &str) {
        let Some(connection) = self.connection().await else {
            return;
        };
        let kept = self.ask(id, connection).await;
        if let Some(connection) = kept.filter(|_| self.uniform() < KEPT) {
            self.idle.borrow_mut().push(connection);
        }
    }

    /// Sends one request. The connection, if it is good for another.
    async fn ask(&self, id: &str, mut connection: Connection) -> Option<Connection> {
        let generation = self.node.generation();
        let class = self
            .random
            .borrow_mut()
            .random_range(0..self.world.plan.classes.len());
        let (text, wait) = self.text(id, class);
        self.world
            .judge
            .borrow_mut()
            .request_begins(id, class, self.node.index, wait);
        let parts = if self.uniform() < IN_PARTS {
            text.split_at(text.len() / 2)
        } else {
            (&text[..], "")
        };
        let mut written = connection.write(parts.0.as_bytes()).await.is_ok();
        if written && !parts.1.is_empty() {
            sleep(PART_PAUSE).await;
            written = connection.write(parts.1.as_bytes()).await.is_ok();
        }
        if !written {
            self.world.judge.borrow_mut().excused();
            return None;
        }
        self.world.judge.borrow_mut().request_sent(id);
        let leaves = self.world.clients_leave.get() && self.uniform() < LEAVING;
        let patience = if leaves {
            wait.mul_f64(self.uniform() * 0.8)
        } else {
            wait + ANSWER_LATE + SLACK + Duration::from_millis(200)
        };
        match timeout(patience, connection.read()).await {
            Ok(Ok(answer)) => return self.answered(id, connection, &answer),
            Ok(Err(end)) => self.ended(id, &connection, end, generation).await,
            Err(_) if leaves => {
                drop(connection);
                self.world.judge.borrow_mut().client_left(id);
            }
            Err(_) if self.node.was_killed(generation) => self.world.judge.borrow_mut().excused(),
            Err(_) => self.world.judge.borrow_mut().lost(id, "no answer in time"),
        }
        None
    }

    fn text(&self, id: &str, class: usize) -> (String, Duration) {
        let class = &self.world.plan.classes[class];
        let wait = class.deadline.mul_f64(0.3 + 0.7 * self.uniform());
        let cost = self.world.plan.work.as_micros();
        let head = format!(
            "HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: {}m\r\nX-Cost: {cost}\r\n",
            wait.as_millis()
        );
        let text = match class.effect {
            Effect::Free => format!("GET /{}/x {head}\r\n", class.name),
            Effect::Guarded => {
                format!(
                    "POST /{}/x {head}Idempotency-Key: k{id}\r\nContent-Length: 4\r\n\r\nbody",
                    class.name
                )
            }
            Effect::SingleShot => {
                format!("POST /{}/x {head}Content-Length: 4\r\n\r\nbody", class.name)
            }
        };
        (text, Duration::from_millis(wait.as_millis() as u64))
    }

    fn answered(&self, id: &str, connection: Connection, answer: &Message) -> Option<Connection> {
        let status = answer.status().unwrap_or(0);
        self.world
            .judge
            .borrow_mut()
            .answered(id, status, &answer.body);
        let closes = answer
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        (!closes).then_some(connection)
    }

    /// The connection ended before the answer: what was not read is sent again elsewhere, the rest
    /// is lost.
    async fn ended(&self, id: &str, connection: &Connection, end: End, generation: u64) {
        let unread = match end {
            End::Reset => true,
            End::Closed(0) => reset_follows(connection).await,
            End::Closed(_) => false,
        };
        let mut judge = self.world.judge.borrow_mut();
        if self.node.was_killed(generation) {
            judge.excused();
        } else if judge.was_forwarded(id) {
            judge.lost(id, "forwarded, and its connection ended without an answer");
        } else if !unread {
            judge.lost(id, "read, and its connection closed without an answer");
        } else {
            judge.excused();
        }
    }

    async fn bad_peer(&self, number: u64) {
        let connecting = timeout(
            Duration::from_secs(1),
            TcpStream::connect(self.node.address),
        )
        .await;
        let Some(mut connection) = connecting.ok().and_then(Result::ok).map(Connection::new) else {
            return;
        };
        let generation = self.node.generation();
        let text = BAD[number as usize % BAD.len()];
        if connection.write(text.as_bytes()).await.is_err() {
            return;
        }
        let answered = timeout(BAD_PEER + SLACK, connection.read()).await;
        let problem = match answered {
            Ok(Ok(answer)) if answer.status().is_some_and(|status| status < 400) => "was served",
            Ok(_) => return,
            Err(_) if self.node.was_killed(generation) => return,
            Err(_) => "got neither an error nor a close",
        };
        self.world.judge.borrow_mut().violated(
            Rule::BadPeer,
            format!("a peer that sent {text:?} {problem}"),
        );
    }
}

/// Whether a connection that the other side has closed is reset as well: it left something unread.
async fn reset_follows(connection: &Connection) -> bool {
    let failed = connection.socket.ready(tokio::io::Interest::ERROR);
    matches!(timeout(RESET_FOLLOWS, failed).await, Ok(Ok(ready)) if ready.is_error())
}
