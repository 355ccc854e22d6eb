//! Peers that send malformed or incomplete requests, and the check of
//! [`Invariant::MalformedPeerRejected`].

use super::Clients;
use crate::invariants::{Invariant, OBSERVER_ALLOWANCE};
use std::time::Duration;
use tokio::time::timeout;

/// Time within which a node must send a malformed peer an error response or close its connection.
const RESPONSE_TIME_LIMIT: Duration = Duration::from_millis(3050);
/// Smallest status code of an error response.
const FIRST_ERROR_STATUS: u16 = 400;
/// Malformed or incomplete requests that peers send in turn.
const MALFORMED_REQUESTS: [&str; 6] = [
    "",
    "GET /read HT",
    "GET /read HTTP/1.1\r\nHost: a\r\n",
    "nonsense\r\n\r\n",
    "POST /pay HTTP/1.1\r\nHost: a\r\nX-Request-ID: bad\r\nX-Timeout: 900m\r\nContent-Length: 100\r\n\r\nabc",
    "GET /read HTTP/1.1\r\nHost: a\r\nX-Timeout: 900m\r\n\r\n",
];

impl Clients {
    /// Sends the malformed request that `number` selects, and waits for an error response or a
    /// close. Records a violation if the node responds with another status or not in time, unless
    /// it was killed meanwhile.
    pub(super) async fn run_malformed_peer(&self, number: u64) {
        let Some(mut connection) = self.connect().await else {
            return;
        };
        let generation = self.node.generation();
        let text = MALFORMED_REQUESTS[number as usize % MALFORMED_REQUESTS.len()];
        if connection.write(text.as_bytes()).await.is_err() {
            return;
        }
        let response = timeout(RESPONSE_TIME_LIMIT + OBSERVER_ALLOWANCE, connection.read()).await;
        let problem = match response {
            Ok(Ok(response))
                if response
                    .status()
                    .is_some_and(|status| status < FIRST_ERROR_STATUS) =>
            {
                "was served"
            }
            Ok(_) => return,
            Err(_) if self.node.was_killed(generation) => return,
            Err(_) => "received neither an error response nor a close",
        };
        self.cluster.checker().record_violation(
            Invariant::MalformedPeerRejected,
            format!("a peer that sent {text:?} {problem}"),
        );
    }
}
