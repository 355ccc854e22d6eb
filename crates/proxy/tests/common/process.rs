//! A proxy process under test: its start, its log, its signals, what the system tells of it.

use super::connection::{Connection, Message};
use super::spawn_lock::spawn_locked;
use super::within;
use serde_json::Value;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStderr, Command};

/// How often a test asks a process whether it has reached a state.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What a process is started with.
pub struct Spawn<'a> {
    pub config: &'a str,
    pub variables: &'a [(String, String)],
    pub descriptor_limit: Option<u32>,
    pub inherited_listener: Option<&'a std::net::TcpListener>,
}

/// A started process and the file that holds its configuration.
pub struct Spawned {
    pub child: Child,
    pub config_path: PathBuf,
}

impl Spawn<'_> {
    /// Writes the configuration file and starts the process.
    pub fn start(&self) -> Spawned {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let config_path = folder.join(format!("{}-{number}.json", std::process::id()));
        std::fs::write(&config_path, self.config).expect("a configuration file");
        let mut command = self.command();
        command
            .env_clear()
            .envs(self.variables.iter().cloned())
            .env("GW_CONFIG", &config_path)
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        let spawn = || match self.inherited_listener {
            None => command.spawn(),
            Some(listener) => spawn_inheriting(command, listener),
        };
        let child = spawn_locked(spawn, Child::id).expect("a process");
        Spawned { child, config_path }
    }

    fn command(&self) -> Command {
        let program = env!("CARGO_BIN_EXE_balancer-proxy");
        let Some(limit) = self.descriptor_limit else {
            return Command::new(program);
        };
        let mut shell = Command::new("/bin/sh");
        let script = "ulimit -n \"$0\" && exec \"$1\"";
        shell.args(["-c", script, &limit.to_string(), program]);
        shell
    }
}

fn spawn_inheriting(mut command: Command, listener: &std::net::TcpListener) -> io::Result<Child> {
    command.env("GW_LISTEN_FD", listener.as_raw_fd().to_string());
    let listener = SockRef::from(listener);
    listener.set_cloexec(false)?;
    let child = command.spawn();
    listener.set_cloexec(true)?;
    child
}

/// Starts a process that is expected to end by itself, and returns its exit status and output.
pub async fn run_to_exit(config: &str, variables: &[(&str, &str)]) -> Output {
    let variables: Vec<_> = variables
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect();
    let spawn = Spawn {
        config,
        variables: &variables,
        descriptor_limit: None,
        inherited_listener: None,
    };
    within("the process's end", spawn.start().child.wait_with_output())
        .await
        .expect("its output")
}

/// A running proxy process.
pub struct ProxyProcess {
    child: Child,
    log: Option<BufReader<ChildStderr>>,
    /// Where clients connect.
    pub address: SocketAddr,
    admin: Option<SocketAddr>,
    config: Value,
    config_path: PathBuf,
}

impl ProxyProcess {
    /// Waits until a started process listens.
    pub async fn listening(spawned: Spawned, config: Value) -> Self {
        let Spawned {
            mut child,
            config_path,
        } = spawned;
        let log = child.stderr.take().map(BufReader::new);
        let mut process = ProxyProcess {
            child,
            log,
            address: ([127, 0, 0, 1], 0).into(),
            admin: None,
            config,
            config_path,
        };
        process.address = process.logged_address("listening on ").await;
        if process.config.get("console").is_some() {
            process.admin = Some(process.logged_address("admin server at ").await);
        }
        process
    }

    async fn logged_address(&mut self, text: &str) -> SocketAddr {
        let line = self.wait_for_log(text).await;
        let address = line.rsplit(' ').next();
        address
            .and_then(|address| address.parse().ok())
            .expect("an address")
    }

    /// A connection to the admin address.
    pub async fn connect_admin(&self) -> Connection {
        Connection::connect(self.admin.expect("an admin address")).await
    }

    /// Makes an admin call and returns the status of the answer.
    pub async fn admin_call(&self, method: &str, path: &str) -> u16 {
        let mut connection = self.connect_admin().await;
        connection
            .write(&format!("{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n"))
            .await;
        let status = connection.read().await.expect("an answer").status();
        connection.expect_closed().await;
        status
    }

    /// Waits until the process says that it is ready for clients.
    pub async fn wait_until_ready(&self) {
        let ready = async {
            while self.get("/health/ready").await.status() != 200 {
                tokio::time::sleep(STATE_POLL_INTERVAL).await;
            }
        };
        within("a ready process", ready).await;
    }

    /// Waits until the admin address says that the process is ready to serve.
    pub async fn wait_until_healthy(&self) {
        while self.admin_call("GET", "/healthcheck").await != 200 {
            tokio::time::sleep(STATE_POLL_INTERVAL).await;
        }
    }

    /// Waits until the process has applied the endpoint list of this revision.
    pub async fn wait_for_revision(&self, revision: u64) {
        let expected = format!("list {revision}\n");
        let applied = async {
            while self.get("/health/live").await.body != expected.as_bytes() {
                tokio::time::sleep(STATE_POLL_INTERVAL).await;
            }
        };
        within("a process that has applied the list", applied).await;
    }

    /// Replaces the configuration file by one in which a value differs, and signals a reload.
    pub async fn reconfigure(&mut self, key: &str, value: Value) {
        self.config[key] = value;
        let text = self.config.to_string();
        self.replace_config(&text).await;
    }

    /// Replaces the configuration file by this text, and signals a reload.
    pub async fn replace_config(&self, text: &str) {
        std::fs::write(&self.config_path, text).expect("a configuration file");
        self.signal("HUP").await;
    }

    /// A client's connection.
    pub async fn connect(&self) -> Connection {
        Connection::connect(self.address).await
    }

    /// A plain GET on a connection of its own.
    pub async fn get(&self, path: &str) -> Message {
        let mut client = self.connect().await;
        client
            .write(&format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"))
            .await;
        client.read().await.expect("an answer")
    }

    /// The first line of the log, from here on, that contains this text.
    pub async fn wait_for_log(&mut self, text: &str) -> String {
        let log = self.log.as_mut().expect("its log");
        let found = async {
            loop {
                let mut line = String::new();
                let read = log.read_line(&mut line).await.expect("its log");
                assert!(read > 0, "the log ended before {text:?}");
                if line.contains(text) {
                    return line.trim_end().to_owned();
                }
            }
        };
        within("a line of the log", found).await
    }

    /// Closes the reading end of the log.
    pub fn close_log(&mut self) {
        self.log = None;
    }

    /// Number of open descriptors.
    pub fn open_descriptors(&self) -> usize {
        let pid = self.child.id().expect("it runs");
        std::fs::read_dir(format!("/proc/{pid}/fd"))
            .expect("its descriptors")
            .count()
    }

    /// The most memory that the process has held so far, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        let pid = self.child.id().expect("it runs");
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("its status");
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .expect("its peak");
        peak.trim()
            .trim_end_matches(" kB")
            .parse()
            .expect("a number")
    }

    /// Sends a signal by name.
    pub async fn signal(&self, signal: &str) {
        let pid = self.child.id().expect("it runs").to_string();
        let spawn = || Command::new("kill").args(["-s", signal, &pid]).spawn();
        let mut kill = spawn_locked(spawn, Child::id).expect("kill");
        let status = within("kill", kill.wait()).await;
        assert!(status.expect("its status").success());
    }

    /// Waits for the process to exit.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        within("the process's end", self.child.wait())
            .await
            .expect("its status")
    }
}
