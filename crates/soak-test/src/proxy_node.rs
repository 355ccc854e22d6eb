//! Proxy nodes: real processes that are started, signalled, ended and started again.

mod upgrade;

use crate::cluster::{AddressGroup, TestCluster};
use crate::discovery;
use crate::http::Connection;
use crate::invariants::Invariant;
use crate::invariants::InvariantChecker;
use crate::plan::{NodeIndex, Scenario, ZONE_NAMES};
use fault_injection::{ControlFile, SystemCall, CONTROL_FILE_VARIABLE};
use serde_json::json;
use socket2::SockRef;
use std::cell::{Cell, RefCell, RefMut};
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// A node has to be ready this soon after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// A single readiness check is given up after this.
const READY_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// New connections go on coming for this long after SIGTERM.
const FRONT_NOTICE_DELAY: Duration = Duration::from_millis(300);
/// SIGKILL comes no earlier than this plus the longest deadline after SIGTERM.
const KILL_DELAY_BEYOND_DEADLINE: Duration = Duration::from_millis(700);
/// The longest deadline counts as this where it is shorter.
const MIN_LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// More time than that to end with the run.
const FINAL_STOP_ALLOWANCE: Duration = Duration::from_secs(1);
/// No reload is signalled right after a node's start.
const RELOAD_DELAY: Duration = Duration::from_millis(100);
/// After a reload the old address of discovery closes its open connections.
const OLD_DISCOVERY_LIFETIME: Duration = Duration::from_millis(1500);
/// Pause between two looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Pause between the signals of a series.
const SIGNAL_PAUSE: Duration = Duration::from_millis(50);

/// The programs of a run.
#[derive(Clone, Copy)]
pub struct Programs<'a> {
    /// The proxy.
    pub proxy: &'a Path,
    /// The fault injection library that is preloaded into it.
    pub fault_library: &'a Path,
}

/// One node: a process, and what is needed to start it again.
pub struct ProxyNode {
    /// Its position.
    pub index: NodeIndex,
    /// Where clients connect.
    pub address: SocketAddr,
    /// The faults of its system calls.
    pub control: ControlFile,
    cluster: Rc<TestCluster>,
    folder: PathBuf,
    program: PathBuf,
    fault_library: PathBuf,
    /// The process, while it runs.
    process: RefCell<Option<Child>>,
    /// The process before an upgrade, while it runs.
    retiring_process: RefCell<Option<Child>>,
    /// The listening socket for clients, where processes inherit it.
    listener: Option<TcpListener>,
    /// Where operators call the present process.
    admin_address: Cell<SocketAddr>,
    /// It was ended for good.
    has_stopped: Cell<bool>,
    /// Counts the processes.
    generation: Cell<u64>,
    /// The last generation that was killed.
    killed_generation: Cell<u64>,
    /// The front sends it new requests.
    receives_traffic: Cell<bool>,
    /// It was signalled to end, so that its end is no crash.
    ending: Cell<bool>,
    /// Serves its present address of discovery.
    discovery_task: RefCell<Option<AbortHandle>>,
    /// Counts its addresses of discovery.
    discovery_generation: Cell<usize>,
}

impl ProxyNode {
    /// A node that is not started yet.
    ///
    /// # Errors
    ///
    /// Its folder or files cannot be written, or an address cannot be bound.
    pub async fn new(
        cluster: &Rc<TestCluster>,
        index: NodeIndex,
        folder: &Path,
        programs: Programs<'_>,
    ) -> io::Result<Rc<Self>> {
        let folder = folder.join(format!("n{index}"));
        std::fs::create_dir_all(folder.join("tmp"))?;
        let control = ControlFile::create(&folder.join("faults"))?;
        // The system gives out the port once, and the node keeps it: nobody else uses the address.
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
            receives_traffic: Cell::new(false),
            ending: Cell::new(false),
            discovery_task: RefCell::default(),
            discovery_generation: Cell::new(0),
            folder,
        });
        node.control.set_seed(cluster.plan.seed);
        node.move_discovery().await?;
        Ok(node)
    }

    /// Number of processes started so far, the present one included.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Whether the process of this generation, or one after it, was killed.
    pub fn was_killed(&self, generation: u64) -> bool {
        self.killed_generation.get() >= generation
    }

    /// Whether it was signalled to end, or is being replaced.
    pub fn is_ending(&self) -> bool {
        self.ending.get()
    }

    /// Whether it was ended for good.
    pub fn has_stopped(&self) -> bool {
        self.has_stopped.get()
    }

    /// Where operators call it.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address.get()
    }

    /// The checker of the run.
    pub fn checker(&self) -> RefMut<'_, InvariantChecker> {
        self.cluster.checker()
    }

    /// Calls that have failed so far by which operator state is stored.
    pub fn state_writes_failed(&self) -> u64 {
        [SystemCall::Sync, SystemCall::Rename]
            .map(|call| self.control.faults(call).failure_count())
            .iter()
            .sum()
    }

    /// Connections of its processes that have been made to break so far.
    pub fn connections_broken(&self) -> u64 {
        self.control.faults(SystemCall::Receive).failure_count()
    }

    /// Whether the front sends it new requests.
    pub fn receives_traffic(&self) -> bool {
        self.receives_traffic.get()
    }

    /// Opens another address of discovery and writes it into the configuration. Returns the task that
    /// serves the address before.
    async fn move_discovery(&self) -> io::Result<Option<AbortHandle>> {
        let generation = self
            .discovery_generation
            .replace(self.discovery_generation.get() + 1);
        let listener = discovery::listen(&self.cluster, self.index, generation).await?;
        let address = listener.local_addr()?;
        let task = discovery::serve(self.cluster.clone(), self.index, listener);
        let previous = self.discovery_task.replace(Some(task));
        self.write_config(address)?;
        Ok(previous)
    }

    fn write_config(&self, discovery: SocketAddr) -> io::Result<()> {
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
        let next = self.folder.join("next");
        std::fs::write(&next, config.to_string())?;
        std::fs::rename(next, self.config_path())
    }

    fn config_path(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Starts a process and waits until it is ready.
    pub async fn start(&self) {
        self.generation.set(self.generation.get() + 1);
        self.ending.set(false);
        self.cluster.checker().node_started(self.index);
        match self.spawn() {
            Ok(process) => *self.process.borrow_mut() = Some(process),
            Err(error) => return self.violated(&format!("could not be started: {error}")),
        }
        if timeout(READY_TIMEOUT, self.until_ready()).await.is_err() {
            self.violated(&format!("not ready within {} s", READY_TIMEOUT.as_secs()));
        }
        self.receives_traffic.set(true);
    }

    /// Starts a process, at a new admin address where there is an admin server.
    fn spawn(&self) -> io::Result<Child> {
        let mut command = self.command();
        let Some(listener) = &self.listener else {
            return command.spawn();
        };
        // The system gives out the port once, as for the address for clients.
        let admin_address = self.cluster.address(AddressGroup::Admin, self.index.0);
        let admin_address = TcpListener::bind(admin_address)?.local_addr()?;
        self.admin_address.set(admin_address);
        command
            .env("GW_CONSOLE", admin_address.to_string())
            .env("GW_LISTEN_FD", listener.as_raw_fd().to_string());
        // Processes of other nodes that start at this moment inherit it too, and do not use it.
        let listener = SockRef::from(listener);
        listener.set_cloexec(false)?;
        let process = command.spawn();
        listener.set_cloexec(true)?;
        process
    }

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

    fn violated(&self, problem: &str) {
        let problem = format!("node {}: {problem}", self.index);
        self.cluster
            .checker()
            .violated(Invariant::ProcessLifecycle, problem);
    }

    fn signal(&self, signal: i32) {
        send_signal(self.process.borrow().as_ref(), signal);
    }

    /// Sends SIGTERM, in a series with other signals where the plan has operations.
    async fn terminate(&self) {
        self.signal(libc::SIGTERM);
        if self.cluster.plan.scenario == Scenario::Operations {
            for signal in [libc::SIGHUP, libc::SIGTERM] {
                sleep(SIGNAL_PAUSE).await;
                self.signal(signal);
            }
        }
    }

    /// Whether its process runs. Notes a crash.
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
            self.violated(&format!("crashed: {exit_status}"));
        }
        false
    }

    /// Waits for the process's end. Returns `false` where it still runs at the deadline.
    async fn ended_by(&self, deadline: Instant) -> bool {
        while self.check_running() {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// How long a process may take to end after SIGTERM.
    fn shutdown_timeout(&self) -> Duration {
        let longest_deadline = self.cluster.plan.longest_deadline();
        longest_deadline.max(MIN_LONGEST_DEADLINE) + KILL_DELAY_BEYOND_DEADLINE
    }

    /// Sends SIGTERM, and starts a new process once it has ended.
    pub async fn restart(&self) {
        if self.ending.replace(true) {
            return;
        }
        let signalled = Instant::now();
        self.terminate().await;
        sleep(FRONT_NOTICE_DELAY.saturating_sub(signalled.elapsed())).await;
        self.receives_traffic.set(false);
        if !self.ended_by(signalled + self.shutdown_timeout()).await {
            self.signal(libc::SIGKILL);
            self.ended_by(Instant::now() + READY_TIMEOUT).await;
        }
        self.start().await;
    }

    /// Sends SIGKILL, and starts a new process at once.
    pub async fn kill(&self) {
        if self.ending.replace(true) {
            return;
        }
        self.killed_generation.set(self.generation.get());
        if self.listener.is_some() {
            // Connections would wait for the next process.
            self.receives_traffic.set(false);
        }
        self.signal(libc::SIGKILL);
        self.ended_by(Instant::now() + READY_TIMEOUT).await;
        self.receives_traffic.set(false);
        self.start().await;
    }

    /// Writes a configuration with another address of discovery, and sends SIGHUP. Does nothing where
    /// the node is not ready or ends.
    pub async fn reload(&self) {
        sleep(RELOAD_DELAY).await;
        if self.ending.get() || !self.receives_traffic.get() {
            return;
        }
        let Ok(previous) = self.move_discovery().await else {
            return;
        };
        self.cluster.checker().node_reloaded(self.index);
        self.signal(libc::SIGHUP);
        if self.cluster.plan.scenario == Scenario::Operations {
            sleep(SIGNAL_PAUSE).await;
            self.signal(libc::SIGHUP);
        }
        sleep(OLD_DISCOVERY_LIFETIME).await;
        if let Some(task) = previous {
            task.abort();
        }
    }

    /// Ends it for good with SIGTERM.
    pub async fn stop(&self) {
        let is_changing = || self.ending.get() && !self.receives_traffic.get();
        while is_changing() || self.retiring_process.borrow().is_some() {
            sleep(POLL_INTERVAL).await;
        }
        self.has_stopped.set(true);
        self.ending.set(true);
        self.signal(libc::SIGTERM);
        let deadline = Instant::now() + self.shutdown_timeout() + FINAL_STOP_ALLOWANCE;
        if !self.ended_by(deadline).await {
            self.violated("did not end on SIGTERM");
            self.signal(libc::SIGKILL);
        }
    }
}

fn send_signal(process: Option<&Child>, signal: i32) {
    let Some(pid) = process
        .and_then(Child::id)
        .and_then(|id| i32::try_from(id).ok())
    else {
        return;
    };
    // SAFETY: The process is a child of this one that was not waited for yet, so that its number is
    // its own.
    #[expect(unsafe_code, reason = "signals a process by its number")]
    unsafe {
        libc::kill(pid, signal);
    }
}
