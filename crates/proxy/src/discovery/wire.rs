//! The JSON format of endpoint lists. The JSON keys belong to discovery's protocol.

use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Why an endpoint list was rejected.
#[derive(Debug, thiserror::Error)]
pub enum InvalidList {
    /// The data is not valid JSON, or not an endpoint list.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The named endpoint is active or draining and has no address.
    #[error("endpoint {0} has no host_port")]
    MissingAddress(String),
}

/// A list of a service's endpoints: a snapshot of all of them, or a delta with those that changed.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    /// Revision of the list. Discovery sends later changes to a watch that states it.
    pub revision: u64,
    /// Whether endpoints that the list does not name are removed. False for a delta, which leaves
    /// them as they are.
    #[serde(rename = "complete")]
    pub is_snapshot: bool,
    /// All endpoints in a snapshot, or the changed ones in a delta.
    #[serde(rename = "members")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// One entry of an endpoint list.
#[derive(Debug, Deserialize)]
pub struct ListedEndpoint {
    /// Name of the endpoint, the same at every node.
    #[serde(rename = "id")]
    pub name: String,
    /// Address at which the endpoint listens. May be `None` only for a removed endpoint.
    #[serde(rename = "host_port")]
    pub address: Option<SocketAddr>,
    /// Name of the endpoint's zone; empty if the entry gives none.
    #[serde(rename = "locality", default)]
    pub zone: String,
    /// Name of the endpoint's machine type; empty if the entry gives none.
    #[serde(rename = "flavor", default)]
    pub machine_type: String,
    /// Number of the endpoint's cell; 0 if the entry gives none.
    #[serde(default)]
    pub cell: u16,
    /// Whether the endpoint is active, draining or removed.
    pub phase: EndpointPhase,
    /// Weight of the endpoint; 1 if the entry gives none.
    #[serde(rename = "size", default = "default_weight")]
    pub weight: f64,
    /// Unix time of the endpoint's latest start in milliseconds, by a wall clock that may have been
    /// stepped; 0 if it started long ago or the entry gives no start.
    #[serde(rename = "up_since_ms", default)]
    pub started_at_unix_ms: u64,
}

impl ListedEndpoint {
    /// Returns the endpoint's latest start as time since the Unix epoch; zero if it started long
    /// ago.
    pub fn start_timestamp(&self) -> Duration {
        Duration::from_millis(self.started_at_unix_ms)
    }
}

fn default_weight() -> f64 {
    1.0
}

/// Whether an endpoint accepts requests, as discovery states it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum EndpointPhase {
    /// The endpoint accepts new requests.
    Active,
    /// The endpoint accepts no new requests and finishes those in flight.
    #[serde(rename = "leaving")]
    Draining,
    /// The endpoint no longer exists.
    #[serde(rename = "left")]
    Removed,
}

impl EndpointList {
    /// Parses one endpoint list.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidList::Json`] if `json` is not an endpoint list, and
    /// [`InvalidList::MissingAddress`] for the first endpoint without an address that is not
    /// removed.
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
