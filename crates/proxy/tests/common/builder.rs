//! Builds the configuration of a proxy process under test and starts it.

use super::faults::FaultInjection;
use super::folder::StateFolder;
use super::process::{ProxyProcess, Spawn};
use super::servers::{ScriptedServer, WatchStream};
use super::settings::{endpoint, settings, MEMORY_MB};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Descriptors that a process is configured with by default.
const DESCRIPTORS: u32 = 1024;

/// A proxy process that is not started yet.
#[derive(Clone)]
pub struct ProxyBuilder<'a> {
    config: Value,
    variables: Vec<(String, String)>,
    descriptor_limit: Option<u32>,
    inherited_listener: Option<&'a std::net::TcpListener>,
}

impl<'a> ProxyBuilder<'a> {
    /// A process with the usual settings that listens on a port of the system's choice.
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
            descriptor_limit: None,
            inherited_listener: None,
        }
    }

    /// Sets a key of the configuration.
    pub fn config(mut self, key: &str, value: impl Into<Value>) -> Self {
        self.config[key] = value.into();
        self
    }

    /// The address for clients.
    pub fn listen(self, address: SocketAddr) -> Self {
        self.config("listen", address.to_string())
    }

    /// The settings of the protocol.
    pub fn settings(self, settings: Value) -> Self {
        self.config("settings", settings)
    }

    /// The descriptors that the configuration allows.
    pub fn descriptors(self, count: u32) -> Self {
        self.config("limits", json!({"sockets": count, "memory_mb": MEMORY_MB}))
    }

    /// An admin address, on a port of the system's choice.
    pub fn admin(self) -> Self {
        self.config("console", "127.0.0.1:0")
    }

    /// An environment variable.
    pub fn variable(mut self, name: &str, value: &str) -> Self {
        self.variables.push((name.into(), value.into()));
        self
    }

    /// Leaves a key out of the configuration.
    pub fn without(mut self, key: &str) -> Self {
        let keys = self.config.as_object_mut().expect("an object");
        keys.remove(key);
        self
    }

    /// The folder in which the process keeps its state.
    pub fn state_folder(self, folder: &StateFolder) -> Self {
        self.variable("TMPDIR", folder.as_str())
    }

    /// System calls that fail as the test says.
    pub fn faults(mut self, faults: &FaultInjection) -> Self {
        for (name, value) in faults.variables() {
            self = self.variable(name, value);
        }
        self
    }

    /// A limit on descriptors that the system enforces, whatever the configuration says.
    pub fn descriptor_limit(mut self, count: u32) -> Self {
        self.descriptor_limit = Some(count);
        self
    }

    /// A listener for clients that the process inherits.
    pub fn inherit(mut self, listener: &'a std::net::TcpListener) -> Self {
        self.inherited_listener = Some(listener);
        self.config(
            "listen",
            listener.local_addr().expect("an address").to_string(),
        )
    }

    /// The configuration's text.
    pub fn config_text(&self) -> String {
        self.config.to_string()
    }

    /// Starts the process and waits until it listens.
    pub async fn start(self) -> ProxyProcess {
        let spawn = Spawn {
            config: &self.config.to_string(),
            variables: &self.variables,
            descriptor_limit: self.descriptor_limit,
            inherited_listener: self.inherited_listener,
        };
        let started = spawn.start();
        ProxyProcess::listening(started, self.config).await
    }

    /// Starts the process, sends it a first endpoint list and waits until it is ready.
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

/// The active endpoints of these backends.
fn active_endpoints(backends: &[(&str, &ScriptedServer)]) -> Vec<Value> {
    backends
        .iter()
        .map(|(id, backend)| endpoint(id, backend.address(), "active"))
        .collect()
}

/// A ready process with the usual settings that serves from these backends.
pub async fn serve(
    backends: &[(&str, &ScriptedServer)],
) -> (ProxyProcess, ScriptedServer, WatchStream) {
    let discovery = ScriptedServer::new().await;
    let (proxy, watch) = ProxyBuilder::new(discovery.address())
        .start_ready(&discovery, &active_endpoints(backends))
        .await;
    (proxy, discovery, watch)
}

/// The same with system calls that may fail.
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

/// The same with an admin address.
pub async fn serve_with_admin(
    backends: &[(&str, &ScriptedServer)],
) -> (ProxyProcess, ScriptedServer, WatchStream) {
    let discovery = ScriptedServer::new().await;
    let (proxy, watch) = ProxyBuilder::new(discovery.address())
        .admin()
        .start_ready(&discovery, &active_endpoints(backends))
        .await;
    (proxy, discovery, watch)
}
