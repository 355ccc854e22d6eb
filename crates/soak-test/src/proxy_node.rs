//! Proxy nodes: real processes that are started, signalled, stopped and started again.

mod open_connections;
mod shutdown;
mod upgrade;

use crate::cluster::{AddressGroup, TestCluster};
use crate::discovery;
use crate::http::Connection;
use crate::invariants::Invariant;
use crate::invariants::InvariantChecker;
use crate::plan::{NodeIndex, Scenario, ZONE_NAMES};
use fault_injection::{ControlFile, SystemCall, CONTROL_FILE_VARIABLE};
use serde_json::json;
use shutdown::send_signal;
use socket2::SockRef;
use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashSet;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::{spawn_blocking, AbortHandle};
use tokio::time::{sleep, timeout};

/// Limit of the waits for a node to be ready and, after SIGKILL, for its process to exit.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of the response to a single readiness check.
const READY_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait at the beginning of a reload, so that no SIGHUP is sent right after a node's start.
const RELOAD_DELAY: Duration = Duration::from_millis(100);
/// A node's previous discovery address accepts connections for this long after a reload.
const OLD_DISCOVERY_LIFETIME: Duration = Duration::from_millis(1500);
/// Interval at which a process is checked for readiness or exit.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Interval between repeated signals. Only plans with operations repeat signals.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(50);

/// Paths of the program and the library that a run executes.
#[derive(Clone, Copy)]
pub struct Programs<'a> {
    /// The proxy program that each process of a node executes.
    pub proxy: &'a Path,
    /// The fault injection library that is preloaded into each proxy process.
    pub fault_library: &'a Path,
}

/// One proxy node: its process, and all that is needed to start it again.
pub struct ProxyNode {
    /// Index of the node among the nodes of the run.
    pub index: NodeIndex,
    /// Address at which the node accepts clients; every process of the node listens there.
    pub address: SocketAddr,
    /// Controls the faults of system calls in the node's processes.
    pub control: ControlFile,
    cluster: Rc<TestCluster>,
    /// Folder of the node's configuration, log, temporary files and fault control file.
    folder: PathBuf,
    program: PathBuf,
    fault_library: PathBuf,
    /// The current process; `None` before the first start and once its exit was noticed.
    process: RefCell<Option<Child>>,
    /// The old process of an upgrade, from the new one's start until the upgrade is over.
    retiring_process: RefCell<Option<Child>>,
    /// Listening socket that processes inherit; `None` if each process binds the address itself.
    listener: Option<TcpListener>,
    /// Address of the current admin server. Its port is 0 if none has been started.
    admin_address: Cell<SocketAddr>,
    /// Whether it was stopped for good by [`ProxyNode::stop`].
    has_stopped: Cell<bool>,
    /// Number of processes started so far; see [`ProxyNode::generation`].
    generation: Cell<u64>,
    /// Generation, from 1, of the last process that a fault killed; 0 if none was.
    killed_generation: Cell<u64>,
    /// Ports of the clients whose connections were open when SIGKILL ended a process that had outlived
    /// the shutdown timeout.
    ports_open_at_kill: RefCell<HashSet<u16>>,
    /// Whether a load balancer in front of the node would send it new requests.
    receives_traffic: Cell<bool>,
    /// Whether the process was signalled to exit or is being replaced: its exit is no crash then.
    ending: Cell<bool>,
    /// Task that accepts connections at the node's current discovery address.
    discovery_task: RefCell<Option<AbortHandle>>,
    /// Held while the discovery address changes, so that changes take effect in their order.
    config_change: tokio::sync::Mutex<()>,
    /// Number of discovery addresses that the node has had so far.
    discovery_generation: Cell<usize>,
}

impl ProxyNode {
    /// Creates a node and serves its discovery address. Starts no process. Needs a `LocalSet`.
    ///
    /// # Errors
    ///
    /// The node's folder or files cannot be written, or one of its addresses cannot be bound.
    pub async fn new(
        cluster: &Rc<TestCluster>,
        index: NodeIndex,
        folder: &Path,
        programs: Programs<'_>,
    ) -> io::Result<Rc<Self>> {
        let folder = folder.join(format!("n{index}"));
        std::fs::create_dir_all(folder.join("tmp"))?;
        let control = ControlFile::create(&folder.join("faults"))?;
        // The node keeps the port that the system chooses here: nothing else uses the IP address.
        let listener = TcpListener::bind(cluster.address(AddressGroup::Nodes, index.0))?;
        let address = listener.local_addr()?;
        let inherits_listener = cluster.plan.scenario == Scenario::Operations;
        let admin_address = cluster.address(AddressGroup::Admin, index.0);
        let node = Rc::new(ProxyNode {
            index,
            address,
            control,
            cluster: cluster.clone(),
            program: programs.proxy.to_owned(),
            fault_library: programs.fault_library.to_owned(),
            process: RefCell::default(),
            retiring_process: RefCell::default(),
            listener: inherits_listener.then_some(listener),
            admin_address: Cell::new(admin_address),
            has_stopped: Cell::new(false),
            generation: Cell::new(0),
            killed_generation: Cell::new(0),
            ports_open_at_kill: RefCell::default(),
            receives_traffic: Cell::new(false),
            ending: Cell::new(false),
            discovery_task: RefCell::default(),
            config_change: tokio::sync::Mutex::default(),
            discovery_generation: Cell::new(0),
            folder,
        });
        node.control.set_seed(cluster.plan.seed);
        node.change_discovery_address().await?;
        Ok(node)
    }

    /// Returns the number of processes started so far, including the current one. The new process
    /// of an upgrade counts once it is ready or the wait for it has timed out.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Whether a fault killed the process of this generation or a later one.
    pub fn was_killed(&self, generation: u64) -> bool {
        self.killed_generation.get() >= generation
    }

    /// Whether its process was signalled to exit, or is being replaced by an upgrade.
    pub fn is_ending(&self) -> bool {
        self.ending.get()
    }

    /// Whether it was stopped for good: no process is started again.
    pub fn has_stopped(&self) -> bool {
        self.has_stopped.get()
    }

    /// Returns the current admin server's address. Only plans with operations have admin servers.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address.get()
    }

    /// Borrows the checker of the run's invariants; see [`TestCluster::checker`].
    pub fn checker(&self) -> RefMut<'_, InvariantChecker> {
        self.cluster.checker()
    }

    /// Returns how many syncs and renames, which store operator state, were made to fail so far.
    pub fn state_writes_failed(&self) -> u64 {
        [SystemCall::Sync, SystemCall::Rename]
            .map(|call| self.control.faults(call).failure_count())
            .iter()
            .sum()
    }

    /// Returns how many reads were made to fail so far, each of which breaks its connection.
    pub fn connections_broken(&self) -> u64 {
        self.control.faults(SystemCall::Receive).failure_count()
    }

    /// Whether a load balancer in front of the node would send it new requests. If not, clients of
    /// plans with operations still send requests on their open connections.
    pub fn receives_traffic(&self) -> bool {
        self.receives_traffic.get()
    }

    /// Opens the node's next discovery address and writes it into the configuration. Returns the
    /// task that accepts connections at the previous address, or `None` if there was none.
    async fn change_discovery_address(&self) -> io::Result<Option<AbortHandle>> {
        let _changing = self.config_change.lock().await;
        let generation = self
            .discovery_generation
            .replace(self.discovery_generation.get() + 1);
        let listener = discovery::listen(&self.cluster, self.index, generation).await?;
        let address = listener.local_addr()?;
        let task = discovery::serve(self.cluster.clone(), self.index, listener);
        let previous = self.discovery_task.replace(Some(task));
        self.write_config(address).await?;
        Ok(previous)
    }

    /// Replaces the node's configuration file atomically by one with this address of discovery.
    async fn write_config(&self, discovery: SocketAddr) -> io::Result<()> {
        let plan = &self.cluster.plan;
        let mut settings = plan.settings();
        settings["zone"] = json!(self.index.0 % ZONE_NAMES.len());
        let config = json!({
            "name": format!("n{}", self.index),
            "listen": self.address.to_string(),
            "discovery": discovery.to_string(),
            "seed": format!("{:x}", plan.seed + self.index.0 as u64),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "settings": settings,
        });
        let (temporary_path, path) = (self.folder.join("next"), self.config_path());
        // The observer must not wait for the disk.
        let writing = spawn_blocking(move || {
            std::fs::write(&temporary_path, config.to_string())?;
            std::fs::rename(temporary_path, path)
        });
        writing.await.map_err(io::Error::other)?
    }

    fn config_path(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Starts a process and waits until it is ready. Records a violation if either fails.
    pub async fn start(&self) {
        self.generation.set(self.generation.get() + 1);
        self.ending.set(false);
        self.cluster.checker().node_started(self.index);
        match self.spawn() {
            Ok(process) => *self.process.borrow_mut() = Some(process),
            Err(error) => return self.record_violation(&format!("could not be started: {error}")),
        }
        if timeout(READY_TIMEOUT, self.until_ready()).await.is_err() {
            self.record_violation(&format!("not ready within {} s", READY_TIMEOUT.as_secs()));
        }
        self.receives_traffic.set(true);
    }

    /// Spawns a process. If it inherits a listener, it also gets an admin server at a new address.
    fn spawn(&self) -> io::Result<Child> {
        let mut command = self.command();
        let Some(listener) = &self.listener else {
            return command.spawn();
        };
        // The system chooses a free port. It is released immediately, for the process to bind.
        let admin_address = self.cluster.address(AddressGroup::Admin, self.index.0);
        let admin_address = TcpListener::bind(admin_address)?.local_addr()?;
        self.admin_address.set(admin_address);
        command
            .env("GW_CONSOLE", admin_address.to_string())
            .env("GW_LISTEN_FD", listener.as_raw_fd().to_string());
        // Other nodes' processes spawned before close-on-exec is set again inherit the socket too,
        // but do not use it.
        let listener = SockRef::from(listener);
        listener.set_cloexec(false)?;
        let process = command.spawn();
        listener.set_cloexec(true)?;
        process
    }

    /// Returns the command that starts a process, with no environment variables but those set here.
    fn command(&self) -> Command {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"));
        let mut command = Command::new(&self.program);
        command
            .env_clear()
            .env("GW_CONFIG", self.config_path())
            .env("TMPDIR", self.folder.join("tmp"))
            .env("LD_PRELOAD", &self.fault_library)
            .env(CONTROL_FILE_VARIABLE, self.folder.join("faults"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .kill_on_drop(true);
        if let Ok(log) = log {
            command.stderr(log);
        }
        command
    }

    async fn until_ready(&self) {
        while !self.is_ready().await {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether a readiness check on a new connection gets status 200 in time.
    async fn is_ready(&self) -> bool {
        let Ok(socket) = TcpStream::connect(self.address).await else {
            return false;
        };
        let mut connection = Connection::new(socket);
        let _ = connection
            .write(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            .await;
        match timeout(READY_CHECK_TIMEOUT, connection.read()).await {
            Ok(Ok(response)) => response.status() == Some(200),
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Records a violation of [`Invariant::ProcessLifecycle`] by this node.
    fn record_violation(&self, problem: &str) {
        let problem = format!("node {}: {problem}", self.index);
        self.cluster
            .checker()
            .record_violation(Invariant::ProcessLifecycle, problem);
    }

    fn signal(&self, signal: i32) {
        send_signal(self.process.borrow().as_ref(), signal);
    }

    /// Whether the current process runs. Records a violation if it has exited unexpectedly.
    pub fn check_running(&self) -> bool {
        let mut process = self.process.borrow_mut();
        let exit_status = process
            .as_mut()
            .and_then(|process| process.try_wait().ok().flatten());
        let Some(exit_status) = exit_status else {
            return process.is_some();
        };
        *process = None;
        if !self.ending.get() {
            self.record_violation(&format!("crashed: {exit_status}"));
        }
        false
    }

    /// Writes a configuration with a new discovery address, and sends SIGHUP, twice in plans with
    /// operations. Does nothing if the node is not ready, is ending or is being upgraded.
    pub async fn reload(&self) {
        sleep(RELOAD_DELAY).await;
        if self.ending.get() || !self.receives_traffic.get() {
            return;
        }
        let Ok(previous) = self.change_discovery_address().await else {
            return;
        };
        self.cluster.checker().node_reloaded(self.index);
        self.signal(libc::SIGHUP);
        if self.cluster.plan.scenario == Scenario::Operations {
            sleep(SIGNAL_INTERVAL).await;
            self.signal(libc::SIGHUP);
        }
        sleep(OLD_DISCOVERY_LIFETIME).await;
        if let Some(task) = previous {
            task.abort();
        }
    }
}
