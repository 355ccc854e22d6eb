//! Configures a proxy process under test and starts it.

use super::faults::FaultInjection;
use super::folder::StateFolder;
use super::process::{ProxyProcess, SpawnOptions};
use super::servers::{ScriptedServer, WatchStream};
use super::settings::{endpoint, settings, MEMORY_MB};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Number of descriptors that the configuration allows a process by default.
const DESCRIPTORS: u32 = 1024;

/// The configuration and the environment of a proxy process that is to be started.
#[derive(Clone)]
pub struct ProxyBuilder<'a> {
    config: Value,
    /// Environment variables, by name.
    variables: Vec<(String, String)>,
    /// Limit on descriptors that the system enforces; `None` leaves the limit of the test.
    system_descriptor_limit: Option<u32>,
    /// Listener for clients that the process inherits instead of binding its own.
    inherited_listener: Option<&'a std::net::TcpListener>,
}

impl<'a> ProxyBuilder<'a> {
    /// Configures a process with the default settings that listens on a port chosen by the system.
    pub fn new(discovery: SocketAddr) -> Self {
        ProxyBuilder {
            config: json!({
                "name": "n",
                "listen": "127.0.0.1:0",
                "discovery": discovery.to_string(),
                "seed": "1f",
                "limits": {"sockets": DESCRIPTORS, "memory_mb": MEMORY_MB},
                "settings": settings(),
            }),
            variables: Vec::new(),
            system_descriptor_limit: None,
            inherited_listener: None,
        }
    }

    /// Sets a top-level key of the configuration.
    pub fn config(mut self, key: &str, value: impl Into<Value>) -> Self {
        self.config[key] = value.into();
        self
    }

    /// Sets the address on which the process listens for clients.
    pub fn listen(self, address: SocketAddr) -> Self {
        self.config("listen", address.to_string())
    }

    /// Replaces the default settings.
    pub fn settings(self, settings: Value) -> Self {
        self.config("settings", settings)
    }

    /// Sets the number of descriptors that the configuration allows the process.
    pub fn configured_descriptors(self, count: u32) -> Self {
        self.config("limits", json!({"sockets": count, "memory_mb": MEMORY_MB}))
    }

    /// Adds an admin server, on a port chosen by the system.
    pub fn with_admin_server(self) -> Self {
        self.config("console", "127.0.0.1:0")
    }

    /// Adds an environment variable.
    pub fn env(mut self, name: &str, value: &str) -> Self {
        self.variables.push((name.into(), value.into()));
        self
    }

    /// Removes a top-level key from the configuration.
    pub fn without_config(mut self, key: &str) -> Self {
        let keys = self
            .config
            .as_object_mut()
            .expect("the configuration should be an object");
        keys.remove(key);
        self
    }

    /// Sets the folder in which the process keeps its state.
    pub fn state_folder(self, folder: &StateFolder) -> Self {
        self.env("TMPDIR", folder.as_str())
    }

    /// Preloads fault injection, through which the test makes system calls fail.
    pub fn faults(mut self, faults: &FaultInjection) -> Self {
        for (name, value) in faults.variables() {
            self = self.env(name, value);
        }
        self
    }

    /// Sets a limit on descriptors that the system enforces, whatever the configuration allows.
    pub fn system_descriptor_limit(mut self, count: u32) -> Self {
        self.system_descriptor_limit = Some(count);
        self
    }

    /// Lets the process inherit this listener for clients, and configures its address.
    pub fn inherit(mut self, listener: &'a std::net::TcpListener) -> Self {
        self.inherited_listener = Some(listener);
        self.config(
            "listen",
            listener
                .local_addr()
                .expect("the local address")
                .to_string(),
        )
    }

    /// Returns the text of the configuration file.
    pub fn config_text(&self) -> String {
        self.config.to_string()
    }

    /// Starts the process and waits until it listens for clients.
    pub async fn start(self) -> ProxyProcess {
        let options = SpawnOptions {
            config: &self.config.to_string(),
            variables: &self.variables,
            system_descriptor_limit: self.system_descriptor_limit,
            inherited_listener: self.inherited_listener,
        };
        let spawned = options.spawn();
        ProxyProcess::wait_until_listening(spawned, self.config).await
    }

    /// Starts the process, sends it a first endpoint list on its watch and waits until it is ready.
    /// The returned watch is open.
    pub async fn start_ready(
        self,
        discovery: &ScriptedServer,
        endpoints: &[Value],
    ) -> (ProxyProcess, WatchStream) {
        let proxy = self.start().await;
        let (mut watch, _) = discovery.accept_watch().await;
        watch.send_list(1, true, endpoints).await;
        proxy.wait_until_ready().await;
        (proxy, watch)
    }
}

/// Returns an active endpoint for each of these backends, given by their ids.
fn active_endpoints(backends: &[(&str, &ScriptedServer)]) -> Vec<Value> {
    backends
        .iter()
        .map(|(id, backend)| endpoint(id, backend.address(), "active"))
        .collect()
}

/// Starts a process with the default settings and these backends, and waits until it is ready.
/// Returns it with its discovery server and the open watch.
pub async fn serve(
    backends: &[(&str, &ScriptedServer)],
) -> (ProxyProcess, ScriptedServer, WatchStream) {
    let discovery = ScriptedServer::new().await;
    let (proxy, watch) = ProxyBuilder::new(discovery.address())
        .start_ready(&discovery, &active_endpoints(backends))
        .await;
    (proxy, discovery, watch)
}

/// Does the same as [`serve`], with system calls that the test can make fail.
pub async fn serve_with_faults(
    faults: &FaultInjection,
    backends: &[(&str, &ScriptedServer)],
) -> (ProxyProcess, ScriptedServer, WatchStream) {
    let discovery = ScriptedServer::new().await;
    let (proxy, watch) = ProxyBuilder::new(discovery.address())
        .faults(faults)
        .start_ready(&discovery, &active_endpoints(backends))
        .await;
    (proxy, discovery, watch)
}

/// Does the same as [`serve`], with an admin server.
pub async fn serve_with_admin(
    backends: &[(&str, &ScriptedServer)],
) -> (ProxyProcess, ScriptedServer, WatchStream) {
    let discovery = ScriptedServer::new().await;
    let (proxy, watch) = ProxyBuilder::new(discovery.address())
        .with_admin_server()
        .start_ready(&discovery, &active_endpoints(backends))
        .await;
    (proxy, discovery, watch)
}
