//! Encodes action frames, in which the adapter answers the simulator's event frames.

use super::codes::{action, SUBSCRIBE};
use super::{InstanceId, ACTION_HEADER_BYTES, ACTION_RECORD_BYTES};
use balancer::Action;
use std::time::Duration;

/// A frame of actions under construction.
#[derive(Debug, Default)]
pub struct ActionFrame {
    /// The records so far, each of [`ACTION_RECORD_BYTES`].
    records: Vec<u8>,
    /// Number of records so far.
    count: u32,
    /// The texts to which records refer, one after the other.
    tail: Vec<u8>,
    /// The instance to which the last record belongs; `None` before the first `SET_INSTANCE`.
    current: Option<InstanceId>,
}

impl ActionFrame {
    /// Removes all records and the tail, so that the next frame can be built.
    pub fn clear(&mut self) {
        self.records.clear();
        self.tail.clear();
        self.count = 0;
        self.current = None;
    }

    /// Makes the records that follow belong to `instance`; adds a record for that unless they do
    /// already.
    pub fn set_instance(&mut self, instance: InstanceId) {
        if self.current != Some(instance) {
            self.current = Some(instance);
            self.push_record(action::SET_INSTANCE, &[&instance.0.to_be_bytes()]);
        }
    }

    /// Adds one action of the current instance. The reasons of [`Action::Reject`] and
    /// [`Action::Fail`] are not written.
    pub fn push_action(&mut self, action: &Action) {
        match action {
            Action::StartAttempt {
                request,
                backend,
                timeout,
            } => self.push_record(
                action::START_ATTEMPT,
                &[
                    &request.0.to_be_bytes(),
                    &backend.0.to_be_bytes(),
                    &nanoseconds(*timeout),
                ],
            ),
            Action::Reject {
                request,
                retry_after,
                ..
            } => self.push_record(
                action::REJECT,
                &[&request.0.to_be_bytes(), &nanoseconds(*retry_after)],
            ),
            Action::Fail { request, .. } => {
                self.push_record(action::FAIL, &[&request.0.to_be_bytes()]);
            }
            Action::CancelAttempt { request, attempt } => self.push_record(
                action::CANCEL_ATTEMPT,
                &[&request.0.to_be_bytes(), &[*attempt as u8]],
            ),
            Action::SetTimer { at, timer } => self.push_record(
                action::SET_TIMER,
                &[&at.0.to_be_bytes(), &timer.0.to_be_bytes()],
            ),
            Action::SendLoadProbe { backend } => {
                self.push_record(action::SEND_LOAD_PROBE, &[&backend.0.to_be_bytes()]);
            }
            Action::RefreshEndpointList => {
                self.push_record(action::REFRESH_ENDPOINT_LIST, &[&[SUBSCRIBE]]);
            }
            Action::Log(text) => self.push_text(action::LOG, text),
        }
    }

    /// Adds a record that the current instance's balancer has panicked with this message.
    pub fn push_decision_failure(&mut self, message: &str) {
        self.push_text(action::DECISION_FAILURE, message);
    }

    /// Returns the whole frame: header, records and tail.
    pub fn to_bytes(&self) -> Vec<u8> {
        let length = ACTION_HEADER_BYTES + self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(length);
        frame.extend_from_slice(&self.count.to_be_bytes());
        frame.extend_from_slice(&(length as u32).to_be_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        frame
    }

    /// Adds a record with this code and these fields, filled up with zeros to its fixed size.
    fn push_record(&mut self, code: u8, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(start + ACTION_RECORD_BYTES, 0);
        self.count += 1;
    }

    /// Adds a record that refers to a text, and the text to the tail.
    fn push_text(&mut self, code: u8, text: &str) {
        let offset = self.tail.len() as u32;
        let length = text.len() as u32;
        self.push_record(code, &[&offset.to_be_bytes(), &length.to_be_bytes()]);
        self.tail.extend_from_slice(text.as_bytes());
    }
}

/// Returns a duration as it is written: in nanoseconds, where 0 stands for `None`.
fn nanoseconds(duration: Option<Duration>) -> [u8; 8] {
    let nanoseconds = duration.map_or(0, |duration| duration.as_nanos() as u64);
    nanoseconds.to_be_bytes()
}
