//! Nodes: real processes that are started, told, ended and started again.

use crate::discovery;
use crate::http::Connection;
use crate::judge::Rule;
use crate::world::Shared;
use fault_injection::{ControlFile, CONTROL_FILE_VARIABLE};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// A node is ready within this.
const READY: Duration = Duration::from_secs(10);
/// New connections go on coming for so long after SIGTERM.
const FRONT_NOTICES: Duration = Duration::from_millis(300);
/// After SIGTERM a process is killed no earlier than this beyond the longest deadline.
const KILL_BEYOND: Duration = Duration::from_millis(700);
/// The longest deadline is taken as this where it is shorter.
const LEAST_DEADLINE: Duration = Duration::from_secs(3);
/// After a new configuration the old address of discovery closes what is open there.
const OLD_ADDRESS: Duration = Duration::from_millis(1500);
const LOOK: Duration = Duration::from_millis(5);

/// One node.
pub struct Node {
    /// Which.
    pub index: usize,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Its system calls.
    pub control: ControlFile,
    world: Shared,
    folder: PathBuf,
    program: PathBuf,
    shim: PathBuf,
    child: RefCell<Option<Child>>,
    pid: Cell<Option<i32>>,
    generation: Cell<u64>,
    killed: Cell<u64>,
    takes_new: Cell<bool>,
    /// It was told to end, or killed: its end is no crash.
    ending: Cell<bool>,
    discovery: RefCell<(String, Option<AbortHandle>)>,
    turns: Cell<usize>,
}

impl Node {
    /// A node that is not started yet.
    pub async fn new(
        world: &Shared,
        index: usize,
        folder: &Path,
        program: &Path,
        shim: &Path,
    ) -> std::io::Result<Rc<Self>> {
        let folder = folder.join(format!("n{index}"));
        std::fs::create_dir_all(folder.join("tmp"))?;
        let control = ControlFile::create(&folder.join("faults"))?;
        // The port is given out by the system once, and is the node's for good: nobody else uses
        // the address.
        let address = std::net::TcpListener::bind(world.address(1, index))?.local_addr()?;
        let node = Rc::new(Node {
            index,
            address,
            control,
            world: world.clone(),
            program: program.to_owned(),
            shim: shim.to_owned(),
            child: RefCell::default(),
            pid: Cell::default(),
            generation: Cell::new(0),
            killed: Cell::new(0),
            takes_new: Cell::new(false),
            ending: Cell::new(false),
            discovery: RefCell::default(),
            turns: Cell::new(0),
            folder,
        });
        node.move_discovery().await?;
        Ok(node)
    }

    /// Counts the processes.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Whether the process of this generation, or one after it, was killed.
    pub fn was_killed(&self, generation: u64) -> bool {
        self.killed.get() >= generation
    }

    /// Whether the front sends new requests there.
    pub fn takes_new(&self) -> bool {
        self.takes_new.get()
    }

    async fn move_discovery(&self) -> std::io::Result<Option<AbortHandle>> {
        let turn = self.turns.replace(self.turns.get() + 1);
        let (listener, address) = discovery::listen(&self.world, self.index, turn).await?;
        let serving = discovery::serve(self.world.clone(), self.index, listener);
        let (_, old) = self.discovery.replace((address, Some(serving)));
        self.write_config()?;
        Ok(old)
    }

    fn write_config(&self) -> std::io::Result<()> {
        let mut settings = self.world.plan.settings();
        settings["zone"] = json!(self.index % crate::plan::ZONES.len());
        let config = json!({
            "name": format!("n{}", self.index), "listen": self.address.to_string(),
            "discovery": self.discovery.borrow().0,
            "seed": format!("{:x}", self.world.plan.seed + self.index as u64),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "settings": settings,
        });
        std::fs::write(self.folder.join("next"), config.to_string())?;
        std::fs::rename(self.folder.join("next"), self.folder.join("config.json"))
    }

    /// Starts a process and waits until it is ready.
    pub async fn start(self: &Rc<Self>) {
        self.generation.set(self.generation.get() + 1);
        self.ending.set(false);
        self.world.judge.borrow_mut().node_begins(self.index);
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"));
        let mut command = Command::new(&self.program);
        command
            .env_clear()
            .env("GW_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", self.folder.join("tmp"))
            .env("LD_PRELOAD", &self.shim)
            .env(CONTROL_FILE_VARIABLE, self.folder.join("faults"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .kill_on_drop(true);
        if let Ok(log) = log {
            command.stderr(log);
        }
        match command.spawn() {
            Ok(child) => {
                self.pid
                    .set(child.id().and_then(|pid| i32::try_from(pid).ok()));
                *self.child.borrow_mut() = Some(child);
            }
            Err(error) => return self.violated(format!("could not be started: {error}")),
        }
        if timeout(READY, self.ready()).await.is_err() {
            self.violated(format!("not ready within {} s", READY.as_secs()));
        }
        self.takes_new.set(true);
    }

    async fn ready(&self) {
        loop {
            if let Ok(socket) = TcpStream::connect(self.address).await {
                let mut connection = Connection::new(socket);
                let _ = connection
                    .write(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                    .await;
                let answer = timeout(Duration::from_secs(1), connection.read()).await;
                if answer
                    .is_ok_and(|answer| answer.is_ok_and(|answer| answer.status() == Some(200)))
                {
                    return;
                }
            }
            sleep(LOOK).await;
        }
    }

    fn violated(&self, what: String) {
        self.world
            .judge
            .borrow_mut()
            .violated(Rule::Process, format!("node {}: {what}", self.index));
    }

    fn signal(&self, signal: i32) {
        let Some(pid) = self.pid.get() else { return };
        // SAFETY: The process is a child of this one that was not waited for yet, so that its
        // number is its own.
        #[allow(unsafe_code)]
        unsafe {
            libc::kill(pid, signal);
        }
    }

    /// Whether its process runs. Notes a crash.
    pub fn look(&self) -> bool {
        let mut child = self.child.borrow_mut();
        let Some(ended) = child
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten())
        else {
            return child.is_some();
        };
        *child = None;
        self.pid.set(None);
        if !self.ending.get() {
            self.violated(format!("crashed: {ended}"));
        }
        false
    }

    async fn ended(&self, by: Instant) -> bool {
        while self.look() {
            if Instant::now() >= by {
                return false;
            }
            sleep(LOOK).await;
        }
        true
    }

    /// SIGTERM; starts again once it has ended.
    pub async fn restart(self: &Rc<Self>) {
        if self.ending.replace(true) {
            return;
        }
        self.signal(libc::SIGTERM);
        let told = Instant::now();
        sleep(FRONT_NOTICES).await;
        self.takes_new.set(false);
        let longest = self.world.plan.longest_deadline().max(LEAST_DEADLINE);
        if !self.ended(told + longest + KILL_BEYOND).await {
            self.signal(libc::SIGKILL);
            self.ended(Instant::now() + READY).await;
        }
        self.start().await;
    }

    /// SIGKILL; starts again at once.
    pub async fn kill(self: &Rc<Self>) {
        if self.ending.replace(true) {
            return;
        }
        self.killed.set(self.generation.get());
        self.signal(libc::SIGKILL);
        self.ended(Instant::now() + READY).await;
        self.takes_new.set(false);
        self.start().await;
    }

    /// A new configuration with another address of discovery, and SIGHUP.
    pub async fn reload(self: &Rc<Self>) {
        // Never in a process's first second or before it is ready.
        sleep(Duration::from_millis(100)).await;
        if self.ending.get() || !self.takes_new.get() {
            return;
        }
        let Ok(old) = self.move_discovery().await else {
            return;
        };
        self.world.judge.borrow_mut().node_reloads(self.index);
        self.signal(libc::SIGHUP);
        sleep(OLD_ADDRESS).await;
        old.iter().for_each(AbortHandle::abort);
    }

    /// Ends it for good with SIGTERM.
    pub async fn end(self: &Rc<Self>) {
        while self.ending.get() && !self.takes_new.get() {
            sleep(LOOK).await;
        }
        self.ending.set(true);
        self.signal(libc::SIGTERM);
        let longest = self.world.plan.longest_deadline().max(LEAST_DEADLINE);
        if !self
            .ended(Instant::now() + longest + KILL_BEYOND + Duration::from_secs(1))
            .await
        {
            self.violated("did not end on SIGTERM".to_owned());
            self.signal(libc::SIGKILL);
        }
    }
}
