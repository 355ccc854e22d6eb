//! A proxy process under test: starts it, reads its log, sends it signals and queries its use of
//! descriptors and memory.

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

/// How often a process is polled for whether it has reached a state.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What a process is started with.
pub struct SpawnOptions<'a> {
    /// Text of the configuration file.
    pub config: &'a str,
    /// Environment variables, by name; no others are passed on but those that name the
    /// configuration and an inherited listener.
    pub variables: &'a [(String, String)],
    /// Limit on descriptors that the system enforces; `None` leaves the limit of the test.
    pub system_descriptor_limit: Option<u32>,
    /// Listener for clients that the process inherits.
    pub inherited_listener: Option<&'a std::net::TcpListener>,
}

/// A started process and the file that holds its configuration.
pub struct SpawnedProcess {
    /// The process, with its standard error piped; killed when dropped.
    pub child: Child,
    /// Where the configuration file is.
    pub config_path: PathBuf,
}

impl SpawnOptions<'_> {
    /// Writes the configuration file and starts the process.
    pub fn spawn(&self) -> SpawnedProcess {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let config_path = folder.join(format!("{}-{number}.json", std::process::id()));
        std::fs::write(&config_path, self.config)
            .expect("the configuration file could not be written");
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
        let child = spawn_locked(spawn, Child::id).expect("the process could not be spawned");
        SpawnedProcess { child, config_path }
    }

    /// Returns the command that runs the proxy, through a shell if the descriptor limit is to be
    /// set.
    fn command(&self) -> Command {
        let program = env!("CARGO_BIN_EXE_balancer-proxy");
        let Some(limit) = self.system_descriptor_limit else {
            return Command::new(program);
        };
        let mut shell = Command::new("/bin/sh");
        let script = "ulimit -n \"$0\" && exec \"$1\"";
        shell.args(["-c", script, &limit.to_string(), program]);
        shell
    }
}

/// Spawns a process that inherits `listener`, whose close-on-exec flag is cleared meanwhile.
fn spawn_inheriting(mut command: Command, listener: &std::net::TcpListener) -> io::Result<Child> {
    command.env("GW_LISTEN_FD", listener.as_raw_fd().to_string());
    let listener = SockRef::from(listener);
    listener.set_cloexec(false)?;
    let child = command.spawn();
    listener.set_cloexec(true)?;
    child
}

/// Starts a process that is expected to exit by itself, and returns its exit status and its
/// standard error.
pub async fn run_to_exit(config: &str, variables: &[(&str, &str)]) -> Output {
    let variables: Vec<_> = variables
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect();
    let options = SpawnOptions {
        config,
        variables: &variables,
        system_descriptor_limit: None,
        inherited_listener: None,
    };
    within(
        "the exit of the process",
        options.spawn().child.wait_with_output(),
    )
    .await
    .expect("the output of the process")
}

/// A running proxy process, killed when dropped.
pub struct ProxyProcess {
    child: Child,
    /// Its standard error; `None` once the test has closed it.
    log: Option<BufReader<ChildStderr>>,
    /// Address at which clients connect.
    pub address: SocketAddr,
    /// Address of the admin server, if one is configured.
    admin_address: Option<SocketAddr>,
    /// Content of the configuration file.
    config: Value,
    config_path: PathBuf,
}

impl ProxyProcess {
    /// Waits until a spawned process has logged the addresses on which it listens for clients and,
    /// if it is configured to, for admin calls.
    pub async fn wait_until_listening(spawned: SpawnedProcess, config: Value) -> Self {
        let SpawnedProcess {
            mut child,
            config_path,
        } = spawned;
        let log = child.stderr.take().map(BufReader::new);
        let mut process = ProxyProcess {
            child,
            log,
            address: ([127, 0, 0, 1], 0).into(),
            admin_address: None,
            config,
            config_path,
        };
        process.address = process.logged_address("listening on ").await;
        if process.config.get("console").is_some() {
            process.admin_address = Some(process.logged_address("admin server at ").await);
        }
        process
    }

    /// Waits for a line of the log that contains this text, and returns the address at its end.
    async fn logged_address(&mut self, text: &str) -> SocketAddr {
        let line = self.wait_for_log(text).await;
        let address = line.rsplit(' ').next();
        address
            .and_then(|address| address.parse().ok())
            .expect("the line should end with an address")
    }

    /// Connects to the admin server.
    pub async fn connect_admin(&self) -> Connection {
        Connection::connect(self.admin_address.expect("no admin server is configured")).await
    }

    /// Makes an admin call and returns the status of the response.
    pub async fn admin_call(&self, method: &str, path: &str) -> u16 {
        let mut connection = self.connect_admin().await;
        connection
            .write(&format!("{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n"))
            .await;
        let status = connection.read().await.expect("a response").status();
        connection.expect_closed().await;
        status
    }

    /// Waits until the process reports at its client address that it is ready.
    pub async fn wait_until_ready(&self) {
        let ready = async {
            while self.get("/health/ready").await.status() != 200 {
                tokio::time::sleep(STATE_POLL_INTERVAL).await;
            }
        };
        within("the readiness of the process", ready).await;
    }

    /// Waits until the process reports at its admin address that it is ready. Each call has a
    /// timeout, the polling as a whole has none.
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
        within("the application of the endpoint list", applied).await;
    }

    /// Changes one value of the configuration file, and signals a reload.
    pub async fn reconfigure(&mut self, key: &str, value: Value) {
        self.config[key] = value;
        let text = self.config.to_string();
        self.replace_config(&text).await;
    }

    /// Replaces the content of the configuration file, and signals a reload.
    pub async fn replace_config(&self, text: &str) {
        std::fs::write(&self.config_path, text)
            .expect("the configuration file could not be written");
        self.signal("HUP").await;
    }

    /// Connects as a client.
    pub async fn connect(&self) -> Connection {
        Connection::connect(self.address).await
    }

    /// Sends a GET request without the headers of a proxied one, on a connection of its own, and
    /// returns the response.
    pub async fn get(&self, path: &str) -> Message {
        let mut client = self.connect().await;
        client
            .write(&format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"))
            .await;
        client.read().await.expect("a response")
    }

    /// Waits for the next line of the log that contains this text, and returns it. Lines before it
    /// are consumed.
    pub async fn wait_for_log(&mut self, text: &str) -> String {
        let log = self.log.as_mut().expect("the log was closed");
        let matching_line = async {
            loop {
                let mut line = String::new();
                let read = log
                    .read_line(&mut line)
                    .await
                    .expect("reading the log failed");
                assert!(read > 0, "the log ended before {text:?}");
                if line.contains(text) {
                    return line.trim_end().to_owned();
                }
            }
        };
        within("a line of the log", matching_line).await
    }

    /// Closes the reading end of the log, so that the process's writes to it fail.
    pub fn close_log(&mut self) {
        self.log = None;
    }

    /// Returns the number of open descriptors of the process.
    pub fn open_descriptors(&self) -> usize {
        let pid = self.child.id().expect("the process has exited");
        std::fs::read_dir(format!("/proc/{pid}/fd"))
            .expect("reading the descriptors failed")
            .count()
    }

    /// Returns the peak resident memory of the process so far, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        self.memory_kib("VmHWM:")
    }

    /// Returns the present anonymous memory of the process, in KiB: without mapped files.
    pub fn anonymous_memory_kib(&self) -> u64 {
        self.memory_kib("RssAnon:")
    }

    /// Returns the amount in the line of the process's status that begins with `field`, in KiB.
    fn memory_kib(&self, field: &str) -> u64 {
        let pid = self.child.id().expect("the process has exited");
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))
            .expect("reading the status failed");
        let amount = status
            .lines()
            .find_map(|line| line.strip_prefix(field))
            .expect("the status should state the amount");
        amount
            .trim()
            .trim_end_matches(" kB")
            .parse()
            .expect("the amount should be a number")
    }

    /// Sends a signal, named without its `SIG`, for example `TERM`.
    pub async fn signal(&self, signal: &str) {
        let pid = self.child.id().expect("the process has exited").to_string();
        let spawn = || Command::new("kill").args(["-s", signal, &pid]).spawn();
        let mut kill = spawn_locked(spawn, Child::id).expect("kill could not be spawned");
        let status = within("the exit of kill", kill.wait()).await;
        assert!(status.expect("the exit status of kill").success());
    }

    /// Waits for the process to exit, and returns its exit status.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        within("the exit of the process", self.child.wait())
            .await
            .expect("the exit status of the process")
    }
}
