//! The process's configuration: the `GW_*` variables and the JSON file that one of them names.

use crate::discovery::wire::EndpointList;
use crate::listener_inheritance::LISTEN_FD_VARIABLE;
use serde::Deserialize;
use serde_json::value::RawValue;
use settings::InstanceSettings;
use std::net::SocketAddr;

/// The variable that names the configuration file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";
/// The fewest descriptors with which clients can be served.
const MIN_DESCRIPTORS: usize = 64;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No configuration file is named.
    #[error("{CONFIG_VARIABLE} is not set: it names the configuration file")]
    NoFile,
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is not JSON, or lacks a key.
    #[error("{path}: {source}")]
    Json {
        /// The file.
        path: String,
        /// What is wrong, and where.
        source: serde_json::Error,
    },
    /// The settings in the file cannot be read.
    #[error("{path}: {source}")]
    Settings {
        /// The file.
        path: String,
        /// What is wrong, and where.
        source: settings::ParseError,
    },
    /// The settings can be read, and contradict each other or are out of range.
    #[error("{path}: {source}")]
    InvalidSettings {
        /// The file.
        path: String,
        /// What is wrong.
        source: balancer::SettingsError,
    },
    /// A value is given neither as a variable nor in the file.
    #[error("neither {variable} nor the configuration's `{key}` is given")]
    Missing {
        /// The variable.
        variable: &'static str,
        /// The file's key.
        key: &'static str,
    },
    /// A value cannot be used.
    #[error("{key} {value:?} is not {expected}")]
    InvalidValue {
        /// The file's key.
        key: &'static str,
        /// What was given.
        value: String,
        /// What it should be.
        expected: &'static str,
    },
}

/// A node's configuration.
pub struct Config {
    /// The node's name, for its log.
    pub name: String,
    /// Where the process listens.
    pub listen: ListenConfig,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The same as the file gives it, which counts when the file is reloaded.
    pub discovery_in_file: Option<SocketAddr>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Descriptors that the node's processes may hold together.
    pub descriptors: usize,
    /// Memory that the node's processes may use together, in bytes.
    pub memory_bytes: usize,
    /// The endpoints as last known, if they are.
    pub known_endpoints: Option<EndpointList>,
    /// The settings of the balancer and their names.
    pub instance: InstanceSettings,
}

/// Where a process listens.
pub struct ListenConfig {
    /// Where clients connect.
    pub clients: SocketAddr,
    /// The number of the descriptor for clients, if the process inherits one.
    pub inherited_descriptor: Option<String>,
    /// Where operators connect, if they do.
    pub admin: Option<SocketAddr>,
}

impl ListenConfig {
    /// Whether operators may change the node's state, at this process or at a peer process.
    pub fn is_operated(&self) -> bool {
        self.admin.is_some() || self.inherited_descriptor.is_some()
    }
}

/// The configuration file. Its keys stay as they are.
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

#[derive(Deserialize)]
#[serde(default)]
struct FileLimits {
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

/// The text of the configuration file that the process's variables name.
pub struct ConfigText {
    path: String,
    text: String,
}

impl ConfigText {
    /// Reads the file with `read`.
    ///
    /// # Errors
    ///
    /// Fails if no file is named, or with the error of `read`.
    pub fn from_env(
        read: impl FnOnce(&str) -> std::io::Result<String>,
    ) -> Result<ConfigText, ConfigError> {
        let path = variable(CONFIG_VARIABLE).ok_or(ConfigError::NoFile)?;
        match read(&path) {
            Ok(text) => Ok(ConfigText { path, text }),
            Err(source) => Err(ConfigError::Unreadable { path, source }),
        }
    }

    /// Parses and checks the whole file. The process's variables, where set, take precedence.
    ///
    /// # Errors
    ///
    /// Returns the first value that is missing or cannot be used.
    pub fn parse(&self) -> Result<Config, ConfigError> {
        let file: ConfigFile =
            serde_json::from_str(&self.text).map_err(|source| ConfigError::Json {
                path: self.path.clone(),
                source,
            })?;
        let instance = self.parse_settings(file.settings)?;
        // Addresses in the file are checked also where a variable takes precedence: they may be used
        // after a reload.
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

/// The value of an environment variable, unless it is empty.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn address_variable(name: &str, key: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
    parse_address(key, variable(name))
}

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
            expected: "an address and port",
        }),
    }
}

fn missing(variable: &'static str, key: &'static str) -> ConfigError {
    ConfigError::Missing { variable, key }
}

fn parse_seed(seed: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(seed, 16).map_err(|_| ConfigError::InvalidValue {
        key: "seed",
        value: seed.to_owned(),
        expected: "a hexadecimal number of at most 16 digits",
    })
}

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
