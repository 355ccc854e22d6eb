//! The policy by which the head filter accepts or rejects requests on a client connection, and by which
//! the connection observes them.

use super::{AcceptedRequest, ClientConnection};
use crate::downstream::connection_state::ConnectionState;
use crate::http1::error::MessageError;
use crate::http1::framing::{parse_request_head, Expected, Head};
use crate::http1::head_filter::MessagePolicy;
use std::rc::Rc;
use tokio::time::Instant;

/// The method of the request that hyper reads in place of a rejected one, so that the rejection
/// keeps its position among pipelined responses. No client can send it: the head filter rejects
/// every method but GET and POST.
pub const REJECTED_METHOD: &str = "REJECTED";
/// The request with [`REJECTED_METHOD`], as hyper reads it.
const REJECTED_HEAD: &[u8] = b"REJECTED / HTTP/1.1\r\n\r\n";

impl MessagePolicy for Rc<ClientConnection> {
    const BETWEEN_MESSAGES: Expected = Expected::Head;

    fn parse_head(&self, bytes: &[u8]) -> Result<Option<Head>, MessageError> {
        parse_request_head(bytes)
    }

    fn reject(&self, error: MessageError) -> std::io::Result<&'static [u8]> {
        self.rejection.set(Some(error));
        Ok(REJECTED_HEAD)
    }

    fn head_bytes_received(&self) -> Result<(), MessageError> {
        let state = self.state.get();
        if matches!(state, ConnectionState::HeadTimedOut { .. }) {
            return Err(MessageError::HeadTimeout);
        }
        self.state.set(state.head_bytes_received(Instant::now()));
        Ok(())
    }

    fn may_enlarge_buffer(&self) -> bool {
        self.enlarged_buffer.try_reserve()
    }

    fn body_started(&self, length: Option<u64>, received: &[u8]) {
        self.unread_body.start(length);
        self.unread_body.record_read(received);
    }

    fn body_bytes_received(&self, bytes: &[u8]) {
        self.unread_body.record_read(bytes);
        if self.body_progress.get().is_some() {
            self.body_progress.set(Some(Instant::now()));
        }
    }

    fn bytes_written(&self) {
        if self.state.get().is_flushing() {
            self.record_progress();
        }
    }

    fn head_accepted(&self, complete_at: Option<Instant>) {
        // Bytes that were received before the accept may have been received as early as the
        // connection may have entered the accept queue.
        let queued_since = self.queued_since.take();
        let complete_at = complete_at.map(|at| queued_since.unwrap_or(at));
        self.accepted_request
            .set(Some(AcceptedRequest { complete_at }));
    }

    fn output_written(&self) {
        let state = self.state.get().output_written(Instant::now());
        self.state.set(state);
    }

    fn awaits_response(&self) -> bool {
        self.accepted_request.get().is_some()
    }
}
