//! The configuration of the process: the `GW_*` environment variables and the JSON file that one of
//! them names.

use crate::discovery::wire::EndpointList;
use crate::listener_inheritance::LISTEN_FD_VARIABLE;
use serde::Deserialize;
use serde_json::value::RawValue;
use settings::InstanceSettings;
use std::net::SocketAddr;

/// Name of the environment variable that holds the path of the configuration file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";
/// Smallest number of descriptors with which clients can be served.
const MIN_DESCRIPTORS: usize = 64;

/// Why the configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment does not name a configuration file.
    #[error("{CONFIG_VARIABLE} is not set: it names the configuration file")]
    NoFile,
    /// The configuration file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the system call.
        source: std::io::Error,
    },
    /// The file is not valid JSON, lacks a key or has a value of another type.
    #[error("{path}: {source}")]
    Json {
        /// Path of the file.
        path: String,
        /// What is wrong and where.
        source: serde_json::Error,
    },
    /// The balancer's settings in the file cannot be parsed.
    #[error("{path}: {source}")]
    Settings {
        /// Path of the file.
        path: String,
        /// What is wrong and where.
        source: settings::ParseError,
    },
    /// The balancer's settings were parsed, but contradict each other or are out of range.
    #[error("{path}: {source}")]
    InvalidSettings {
        /// Path of the file.
        path: String,
        /// The contradiction, or the value that is out of range.
        source: balancer::SettingsError,
    },
    /// A required value is given neither by an environment variable nor in the file.
    #[error("neither {variable} nor the configuration key `{key}` is set")]
    Missing {
        /// Name of the environment variable.
        variable: &'static str,
        /// Key of the file.
        key: &'static str,
    },
    /// A value of the file or of an environment variable is invalid.
    #[error("{key} {value:?} is not {expected}")]
    InvalidValue {
        /// Key of the value in the file, also if an environment variable gave the value; for
        /// `GW_CONSOLE` the name of the variable.
        key: &'static str,
        /// The value that was given.
        value: String,
        /// Description of valid values.
        expected: &'static str,
    },
}

/// The configuration of a node, parsed and checked.
pub struct Config {
    /// Name of the node. It begins each log line and identifies the stored operator state.
    pub name: String,
    /// Addresses that the process listens on.
    pub listen: ListenConfig,
    /// Address of discovery that is used when the process starts.
    pub discovery: SocketAddr,
    /// Address of discovery in the file, which is used when the file is reloaded. `None` if the
    /// file gives none.
    pub discovery_in_file: Option<SocketAddr>,
    /// Seed of the process's random number generators.
    pub seed: u64,
    /// Number of descriptors that the node's processes may hold together.
    pub descriptors: usize,
    /// Memory that the node's processes may use together, in bytes.
    pub memory_bytes: usize,
    /// The endpoint list as last known when the file was written. `None` if the file gives none.
    pub known_endpoints: Option<EndpointList>,
    /// Settings of the balancer, with the names that they define.
    pub instance: InstanceSettings,
}

/// The addresses that a process listens on.
pub struct ListenConfig {
    /// Address at which clients connect.
    pub clients: SocketAddr,
    /// Number of the inherited descriptor of the listener for clients, not parsed yet. `None` if
    /// the process opens the listener itself.
    pub inherited_descriptor: Option<String>,
    /// Address for operators. `None` if there is no admin server.
    pub admin: Option<SocketAddr>,
}

impl ListenConfig {
    /// Returns whether operators can change the node's state, through this process or a peer
    /// process. A process that inherits its listener may have a peer process with an admin server.
    pub fn is_operated(&self) -> bool {
        self.admin.is_some() || self.inherited_descriptor.is_some()
    }
}

/// The content of the configuration file. Its keys must not change.
#[derive(Deserialize)]
struct ConfigFile<'a> {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(rename = "console")]
    admin: Option<String>,
    seed: String,
    #[serde(default)]
    limits: FileLimits,
    #[serde(rename = "known")]
    known_endpoints: Option<EndpointList>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// Limits on the resources of the node's processes together.
#[derive(Deserialize)]
#[serde(default)]
struct FileLimits {
    /// Memory for all processes of the node together, in MiB.
    memory_mb: usize,
    #[serde(rename = "sockets")]
    descriptors: usize,
}

impl Default for FileLimits {
    fn default() -> Self {
        FileLimits {
            memory_mb: 192,
            descriptors: 1024,
        }
    }
}

/// The path and the text of the configuration file that the environment names.
pub struct ConfigText {
    path: String,
    text: String,
}

impl ConfigText {
    /// Reads the configuration file by calling `read` with its path.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::NoFile`] if the environment names no file, or
    /// [`ConfigError::Unreadable`] with the error of `read`.
    pub fn from_env(
        read: impl FnOnce(&str) -> std::io::Result<String>,
    ) -> Result<ConfigText, ConfigError> {
        let path = variable(CONFIG_VARIABLE).ok_or(ConfigError::NoFile)?;
        match read(&path) {
            Ok(text) => Ok(ConfigText { path, text }),
            Err(source) => Err(ConfigError::Unreadable { path, source }),
        }
    }

    /// Parses and checks the whole file. Environment variables that are set and not empty take
    /// precedence over the file.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] for the first value that is missing or invalid.
    pub fn parse(&self) -> Result<Config, ConfigError> {
        let file: ConfigFile =
            serde_json::from_str(&self.text).map_err(|source| ConfigError::Json {
                path: self.path.clone(),
                source,
            })?;
        let instance = self.parse_settings(file.settings)?;
        // Addresses in the file are checked even where an environment variable takes precedence,
        // since they may be used after a reload.
        let listen_in_file = parse_address("listen", file.listen)?;
        let clients = address_variable("GW_LISTEN", "listen")?
            .or(listen_in_file)
            .ok_or_else(|| missing("GW_LISTEN", "listen"))?;
        let discovery_in_file = parse_address("discovery", file.discovery)?;
        let discovery = address_variable("GW_DISCOVERY", "discovery")?
            .or(discovery_in_file)
            .ok_or_else(|| missing("GW_DISCOVERY", "discovery"))?;
        let admin_in_file = parse_address("console", file.admin)?;
        let admin = address_variable("GW_CONSOLE", "GW_CONSOLE")?.or(admin_in_file);
        Ok(Config {
            name: variable("GW_NAME").unwrap_or(file.name),
            listen: ListenConfig {
                clients,
                inherited_descriptor: variable(LISTEN_FD_VARIABLE),
                admin,
            },
            discovery,
            discovery_in_file,
            seed: parse_seed(&file.seed)?,
            descriptors: checked_descriptors(file.limits.descriptors)?,
            memory_bytes: file.limits.memory_mb.saturating_mul(1 << 20),
            known_endpoints: file.known_endpoints,
            instance,
        })
    }

    /// Parses and checks the balancer's settings.
    fn parse_settings(&self, json: &RawValue) -> Result<InstanceSettings, ConfigError> {
        let instance =
            settings::parse(json.get().as_bytes()).map_err(|source| ConfigError::Settings {
                path: self.path.clone(),
                source,
            })?;
        match instance.settings.check() {
            Ok(()) => Ok(instance),
            Err(source) => Err(ConfigError::InvalidSettings {
                path: self.path.clone(),
                source,
            }),
        }
    }
}

/// Returns the value of an environment variable. `None` if it is not set, empty or not valid
/// Unicode.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Parses the address in an environment variable, if it is set. `key` names the value in an error.
fn address_variable(name: &str, key: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
    parse_address(key, variable(name))
}

/// Parses an address, if there is one. `key` names the value in an error.
fn parse_address(
    key: &'static str,
    value: Option<String>,
) -> Result<Option<SocketAddr>, ConfigError> {
    let Some(value) = value else {
        return Ok(None);
    };
    match value.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(ConfigError::InvalidValue {
            key,
            value,
            expected: "an IP address and port",
        }),
    }
}

fn missing(variable: &'static str, key: &'static str) -> ConfigError {
    ConfigError::Missing { variable, key }
}

/// Parses a hexadecimal seed.
fn parse_seed(seed: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(seed, 16).map_err(|_| ConfigError::InvalidValue {
        key: "seed",
        value: seed.to_owned(),
        expected: "a hexadecimal number of at most 16 digits",
    })
}

/// Returns the number of descriptors, or an error if it is below [`MIN_DESCRIPTORS`].
fn checked_descriptors(descriptors: usize) -> Result<usize, ConfigError> {
    if descriptors >= MIN_DESCRIPTORS {
        Ok(descriptors)
    } else {
        Err(ConfigError::InvalidValue {
            key: "limits.sockets",
            value: descriptors.to_string(),
            expected: "at least 64",
        })
    }
}
