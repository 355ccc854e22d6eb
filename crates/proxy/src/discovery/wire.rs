//! The form of endpoint lists on the wire.

use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Why an endpoint list cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InvalidList {
    /// It is not the JSON of an endpoint list.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// An active or draining endpoint has no address.
    #[error("{0} has no host_port")]
    MissingAddress(String),
}

/// The endpoints of a service: all of them, or those that have changed.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    /// Version of the list.
    pub revision: u64,
    /// Whether endpoints that are not named are removed. Otherwise the list is a delta.
    #[serde(rename = "complete")]
    pub is_snapshot: bool,
    /// The endpoints.
    #[serde(rename = "members")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// One endpoint, as discovery describes it.
#[derive(Debug, Deserialize)]
pub struct ListedEndpoint {
    /// Its name, the same at every node.
    #[serde(rename = "id")]
    pub name: String,
    /// Where it listens. A removed endpoint needs no address.
    #[serde(rename = "host_port")]
    pub address: Option<SocketAddr>,
    /// Name of its zone.
    #[serde(rename = "locality", default)]
    pub zone: String,
    /// Name of its machine type.
    #[serde(rename = "flavor", default)]
    pub machine_type: String,
    /// Number of its cell.
    #[serde(default)]
    pub cell: u16,
    /// Whether it accepts requests.
    pub phase: EndpointPhase,
    /// Its weight.
    #[serde(rename = "size", default = "default_weight")]
    pub weight: f64,
    /// Unix time of its latest start, in milliseconds; 0 for long ago.
    #[serde(rename = "up_since_ms", default)]
    pub started_at_unix_ms: u64,
}

impl ListedEndpoint {
    /// Unix time of its latest start; zero for long ago.
    pub fn start_timestamp(&self) -> Duration {
        Duration::from_millis(self.started_at_unix_ms)
    }
}

fn default_weight() -> f64 {
    1.0
}

/// Whether an endpoint accepts requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum EndpointPhase {
    /// It accepts new requests.
    Active,
    /// It accepts no new requests and finishes those in flight.
    #[serde(rename = "leaving")]
    Draining,
    /// It no longer exists.
    #[serde(rename = "left")]
    Removed,
}

impl EndpointList {
    /// Parses one list.
    ///
    /// # Errors
    ///
    /// Returns why `json` is not an endpoint list that can be used.
    pub fn parse(json: &[u8]) -> Result<Self, InvalidList> {
        let list: EndpointList = serde_json::from_slice(json)?;
        let without_address = list.endpoints.iter().find(|endpoint| {
            endpoint.address.is_none() && endpoint.phase != EndpointPhase::Removed
        });
        match without_address {
            Some(endpoint) => Err(InvalidList::MissingAddress(endpoint.name.clone())),
            None => Ok(list),
        }
    }
}
