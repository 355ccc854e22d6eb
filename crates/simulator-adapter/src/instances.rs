//! The table of instances: each event goes to its instance's balancer, its actions into the reply.

use crate::wire::{ActionFrame, EventFrame, EventRecord, InstanceId, WireError};
use balancer::{Action, Balancer, Event, Time};
use rustc_hash::FxHashMap;
use settings::{InvalidSettings, LoadReportField, ParseError};
use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Why a frame cannot be handled. Records are counted from 0.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// A malformed frame.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// Settings that cannot be read.
    #[error("record {record}: {source}")]
    UnreadableSettings {
        /// Position of the record.
        record: usize,
        /// What is wrong.
        source: ParseError,
    },
    /// Settings that the balancer rejects.
    #[error("record {record}: settings: {source}")]
    InvalidSettings {
        /// Position of the record.
        record: usize,
        /// What is wrong.
        source: InvalidSettings,
    },
    /// An event before any `switch_to`.
    #[error("record {record}: no instance named yet")]
    NoInstance {
        /// Position of the record.
        record: usize,
    },
    /// An event for an instance that does not run.
    #[error("record {record}: instance {instance} was never started")]
    InstanceNotRunning {
        /// Position of the record.
        record: usize,
        /// The instance.
        instance: InstanceId,
    },
}

struct Instance {
    balancer: Balancer,
    load_report_fields: Vec<LoadReportField>,
}

/// Whether the rest of a frame is handled.
enum Progress {
    Continue,
    /// The decision code has panicked, and the reply says so.
    DecisionFailed,
}

/// All instances of this process.
#[derive(Default)]
pub struct InstanceTable {
    running: FxHashMap<InstanceId, Instance>,
    /// The instance that the records at hand concern; named anew in each frame.
    current: Option<InstanceId>,
    reply: ActionFrame,
    actions: Vec<Action>,
}

impl InstanceTable {
    /// Handles one frame of events and returns the frame of the resulting actions.
    ///
    /// A panic of the decision code is no error: the reply reports it, and the frame's remaining
    /// records are dropped.
    ///
    /// # Errors
    ///
    /// [`FrameError`] names the record that cannot be handled. The records before it have taken
    /// effect, and their actions are lost.
    pub fn handle_frame(&mut self, frame: &[u8]) -> Result<Vec<u8>, FrameError> {
        let frame = EventFrame::parse(frame)?;
        self.reply.clear();
        self.current = None;
        for record in 0..frame.len() {
            if let Progress::DecisionFailed = self.handle_record(&frame, record)? {
                break;
            }
        }
        Ok(self.reply.to_bytes())
    }

    fn handle_record(
        &mut self,
        frame: &EventFrame<'_>,
        record: usize,
    ) -> Result<Progress, FrameError> {
        match frame.record(record, self.load_report_fields()) {
            Ok(EventRecord::SwitchTo(instance)) => self.current = Some(instance),
            Ok(EventRecord::Init { seed, settings }) => {
                self.start_instance(record, settings, seed, frame.now)?;
            }
            Ok(EventRecord::PowerOff) => {
                let instance = self.running_instance(record)?;
                self.running.remove(&instance);
            }
            Ok(EventRecord::PeerMessage) => {
                self.running_instance(record)?;
            }
            Ok(EventRecord::Event(event)) => {
                return self.handle_event(record, frame.now, event);
            }
            Err(error) => {
                self.running_instance(record)?;
                return Err(error.into());
            }
        }
        Ok(Progress::Continue)
    }

    /// The order of figures in the current instance's load reports.
    fn load_report_fields(&self) -> &[LoadReportField] {
        self.current
            .and_then(|instance| self.running.get(&instance))
            .map_or(&[], |instance| &instance.load_report_fields)
    }

    fn current_instance(&self, record: usize) -> Result<InstanceId, FrameError> {
        self.current.ok_or(FrameError::NoInstance { record })
    }

    /// The current instance, which has to run.
    fn running_instance(&self, record: usize) -> Result<InstanceId, FrameError> {
        let instance = self.current_instance(record)?;
        if self.running.contains_key(&instance) {
            Ok(instance)
        } else {
            Err(FrameError::InstanceNotRunning { record, instance })
        }
    }

    fn start_instance(
        &mut self,
        record: usize,
        settings: &[u8],
        seed: u64,
        now: Time,
    ) -> Result<(), FrameError> {
        let id = self.current_instance(record)?;
        let parsed = settings::parse(settings)
            .map_err(|source| FrameError::UnreadableSettings { record, source })?;
        let balancer = Balancer::new(parsed.settings, seed, now).map_err(|source| {
            FrameError::InvalidSettings {
                record,
                source: source.into(),
            }
        })?;
        let instance = Instance {
            balancer,
            load_report_fields: parsed.load_report_fields,
        };
        self.running.insert(id, instance);
        Ok(())
    }

    fn handle_event(
        &mut self,
        record: usize,
        now: Time,
        event: Event,
    ) -> Result<Progress, FrameError> {
        let id = self.current_instance(record)?;
        let Some(instance) = self.running.get_mut(&id) else {
            return Err(FrameError::InstanceNotRunning {
                record,
                instance: id,
            });
        };
        let actions = &mut self.actions;
        let handled = catch_unwind(AssertUnwindSafe(|| {
            instance.balancer.handle(now, event, actions);
        }));
        if !self.actions.is_empty() || handled.is_err() {
            self.reply.set_instance(id);
        }
        for action in self.actions.drain(..) {
            self.reply.push_action(&action);
        }
        match handled {
            Ok(()) => Ok(Progress::Continue),
            Err(payload) => {
                self.reply.push_decision_failure(panic_message(&*payload));
                Ok(Progress::DecisionFailed)
            }
        }
    }
}

fn panic_message(payload: &(dyn Any + Send)) -> &str {
    if let Some(message) = payload.downcast_ref::<String>() {
        message
    } else if let Some(message) = payload.downcast_ref::<&str>() {
        message
    } else {
        "panic without a message"
    }
}
