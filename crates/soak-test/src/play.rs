//! One play: makes the world of a seed, lets its troubles come, and says what the judge found.

use crate::client::Clients;
use crate::discovery;
use crate::judge::{Judge, Totals, Violation};
use crate::node::Node;
use crate::plan::{Conduct, Episode, FailingCalls, Plan, Trouble};
use crate::server;
use crate::world::{Discovery, Phase, Server, Shared, World};
use fault_injection::SystemCall;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The observer looks this often at how late it is itself.
const LAG_LOOK: Duration = Duration::from_millis(5);
/// A chance of one in fifty.
const SOMETIMES: u64 = 20_000;
/// A node is held up for so long.
const HELD_UP: Duration = Duration::from_millis(150);

/// Between two such times: the slack of the rules covers one.
const BETWEEN: Duration = Duration::from_secs(1);

/// What came of one play.
pub struct Report {
    /// What was played.
    pub plan: Plan,
    /// What was counted.
    pub totals: Totals,
    /// The broken rules.
    pub violations: Vec<Violation>,
    /// The longest that the observer itself was late: its verdicts are good for as long as that is
    /// short.
    pub lag: Duration,
}

/// The programs that are played with.
pub struct Programs<'a> {
    /// The node.
    pub node: &'a Path,
    /// The shim.
    pub shim: &'a Path,
}

/// Plays a plan in a folder of its own, on a network of its own.
pub async fn play(
    plan: Plan,
    network: u8,
    folder: &Path,
    programs: &Programs<'_>,
) -> std::io::Result<Report> {
    let (world, listeners) = make_world(plan, network).await?;
    for (index, listener) in listeners.into_iter().enumerate() {
        spawn_local(server::serve(world.clone(), index, listener));
    }
    let mut nodes = Vec::new();
    for index in 0..world.plan.nodes {
        let node = Node::new(&world, index, folder, programs.node, programs.shim).await?;
        node.control.set_seed(world.plan.seed);
        nodes.push(node);
    }
    let starting: Vec<_> = nodes
        .iter()
        .cloned()
        .map(|n| spawn_local(async move { n.start().await }))
        .collect();
    for start in starting {
        let _ = start.await;
    }
    spawn_local(watch_lag(world.clone()));
    spawn_local(watch_nodes(nodes.clone()));
    world.judge.borrow_mut().traffic_begins();
    let mut clients = Vec::new();
    for node in &nodes {
        clients.push(spawn_local(Clients::run(world.clone(), node.clone())));
        clients.push(spawn_local(Clients::rest(world.clone(), node.clone())));
    }
    let troubles: Vec<_> = world
        .plan
        .episodes
        .iter()
        .map(|episode| spawn_local(trouble(world.clone(), nodes.clone(), episode.clone())))
        .collect();
    sleep(world.plan.traffic).await;
    world.over.set(true);
    for task in clients.into_iter().chain(troubles) {
        let _ = task.await;
    }
    let ending: Vec<_> = nodes
        .iter()
        .cloned()
        .map(|n| spawn_local(async move { n.end().await }))
        .collect();
    for end in ending {
        let _ = end.await;
    }
    let judge = world.judge.borrow();
    let (totals, violations, lag) = (judge.totals, judge.violations.clone(), judge.lag.get());
    Ok(Report {
        plan: world.plan.clone(),
        totals,
        violations,
        lag,
    })
}

async fn make_world(plan: Plan, network: u8) -> std::io::Result<(Shared, Vec<TcpListener>)> {
    let mut world = World {
        judge: RefCell::new(Judge::new(&plan)),
        servers: Vec::new(),
        discovery: watch::Sender::new(Discovery::Answers(Duration::ZERO)),
        revision: watch::Sender::new(1),
        resets: watch::Sender::new(0),
        clients_leave: Cell::default(),
        bad_peers: Cell::default(),
        over: Cell::default(),
        clock_step: Cell::default(),
        network,
        plan,
    };
    let mut listeners = Vec::new();
    for index in 0..world.plan.servers {
        let listener = TcpListener::bind(world.address(2, index)).await?;
        world.servers.push(Server {
            address: listener.local_addr()?,
            phase: Cell::new(Phase::Active),
            up_since: Cell::new(0),
            changed: Cell::new(1),
            conduct: Cell::new(Conduct::Serve),
            start: watch::Sender::new(0),
            in_hand: Cell::new(0),
        });
        listeners.push(listener);
    }
    Ok((Rc::new(world), listeners))
}

async fn watch_lag(world: Shared) {
    loop {
        let before = Instant::now();
        sleep(LAG_LOOK).await;
        let late = before.elapsed().saturating_sub(LAG_LOOK);
        let judge = world.judge.borrow();
        judge.lag.set(judge.lag.get().max(late));
    }
}

async fn watch_nodes(nodes: Vec<Rc<Node>>) {
    loop {
        sleep(LAG_LOOK).await;
        for node in &nodes {
            node.look();
        }
    }
}

async fn trouble(world: Shared, nodes: Vec<Rc<Node>>, episode: Episode) {
    sleep(episode.at).await;
    match &episode.trouble {
        Trouble::Terminate(chosen) => {
            each(&nodes, chosen, |node| async move { node.restart().await }).await;
        }
        Trouble::Kill(chosen) => {
            each(&nodes, chosen, |node| async move { node.kill().await }).await;
        }
        Trouble::Reload(chosen) => {
            each(&nodes, chosen, |node| async move { node.reload().await }).await;
        }
        Trouble::Drain(servers) => close(&world, servers, Phase::Leaving),
        Trouble::Remove(servers) => close(&world, servers, Phase::Left),
        Trouble::Restart(servers) => servers.iter().for_each(|&server| restart(&world, server)),
        Trouble::Misbehave(servers, conduct) => {
            servers
                .iter()
                .for_each(|&server| world.servers[server].conduct.set(*conduct));
            sleep(episode.length).await;
            servers
                .iter()
                .for_each(|&server| world.servers[server].conduct.set(Conduct::Serve));
        }
        Trouble::DiscoveryDown => discovery_for(&world, Discovery::Down, episode.length).await,
        Trouble::DiscoverySilent => discovery_for(&world, Discovery::Silent, episode.length).await,
        Trouble::DiscoverySlow(delay) => {
            discovery_for(&world, Discovery::Answers(*delay), episode.length).await;
        }
        Trouble::WatchesReset => world.resets.send_modify(|resets| *resets += 1),
        Trouble::Calls(chosen, calls) => {
            chosen
                .iter()
                .for_each(|&node| fail_calls(&nodes[node], *calls));
            sleep(episode.length).await;
            chosen
                .iter()
                .for_each(|&node| nodes[node].control.clear_faults());
        }
        Trouble::HeldUp(chosen) => {
            chosen.iter().for_each(|&node| {
                nodes[node]
                    .control
                    .after_epoll_wait
                    .set_rate(SOMETIMES, HELD_UP, BETWEEN);
            });
            sleep(episode.length).await;
            chosen
                .iter()
                .for_each(|&node| nodes[node].control.clear_faults());
        }
        Trouble::Step(chosen, seconds) => {
            chosen
                .iter()
                .for_each(|&node| nodes[node].control.step_wall_clock(*seconds));
        }
        Trouble::ClientsLeave => {
            world.clients_leave.set(true);
            sleep(episode.length).await;
            world.clients_leave.set(false);
        }
        Trouble::BadPeers => {
            world.bad_peers.set(true);
            sleep(episode.length).await;
            world.bad_peers.set(false);
        }
    }
}

async fn each<F: Future<Output = ()> + 'static>(
    nodes: &[Rc<Node>],
    chosen: &[usize],
    act: impl Fn(Rc<Node>) -> F,
) {
    let acts: Vec<_> = chosen
        .iter()
        .map(|&node| spawn_local(act(nodes[node].clone())))
        .collect();
    for act in acts {
        let _ = act.await;
    }
}

async fn discovery_for(world: &World, mode: Discovery, length: Duration) {
    discovery::turn(world, mode);
    sleep(length).await;
    discovery::turn(world, Discovery::Answers(Duration::ZERO));
}

fn close(world: &World, servers: &[usize], phase: Phase) {
    for &server in servers {
        world.judge.borrow_mut().server_closes(server);
        world.change(server, |server| server.phase.set(phase));
    }
}

fn restart(world: &World, server: usize) {
    world.judge.borrow_mut().server_starts(server);
    let stamp = world.stamp();
    world.servers[server].start.send_modify(|start| *start += 1);
    world.servers[server].in_hand.set(0);
    world.change(server, |server| server.up_since.set(stamp));
}

fn fail_calls(node: &Node, calls: FailingCalls) {
    let set = |call, rate, errors: &[i32]| node.control.faults(call).set_rate(rate, errors);
    match calls {
        FailingCalls::Accept => {
            set(
                SystemCall::Accept,
                10 * SOMETIMES,
                &[libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EINTR],
            );
        }
        FailingCalls::Connect => {
            let errors = [
                libc::ENFILE,
                libc::ENOBUFS,
                libc::EADDRNOTAVAIL,
                libc::ENETUNREACH,
            ];
            set(SystemCall::Socket, 5 * SOMETIMES, &[libc::ENFILE]);
            set(SystemCall::Connect, 10 * SOMETIMES, &errors);
        }
        FailingCalls::Waits => {
            set(SystemCall::EpollWait, 10 * SOMETIMES, &[libc::EINTR]);
            set(SystemCall::Poll, 10 * SOMETIMES, &[libc::EINTR]);
        }
        FailingCalls::Short => {
            node.control.set_short_io_rate(10 * SOMETIMES);
        }
        FailingCalls::Broken => set(
            SystemCall::Receive,
            SOMETIMES / 4,
            &[libc::ETIMEDOUT, libc::EHOSTUNREACH],
        ),
    }
}
