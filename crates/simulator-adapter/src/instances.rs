//! The table of instances, the simulated nodes: it passes each event to the balancer of its
//! instance and collects the resulting actions in the reply.

use crate::wire::{ActionFrame, EventFrame, EventRecord, InstanceId, WireError};
use balancer::{Action, Balancer, Event, Time};
use rustc_hash::FxHashMap;
use settings::{InvalidSettings, LoadReportField, ParseError};
use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// An error that prevents a frame from being handled. Records are counted from 0.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The frame is malformed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The settings of an instance cannot be read.
    #[error("record {record}: {source}")]
    UnreadableSettings {
        /// Position of the record that starts the instance.
        record: usize,
        /// The error with the key at which reading failed.
        source: ParseError,
    },
    /// The balancer rejects the settings of an instance.
    #[error("record {record}: settings: {source}")]
    InvalidSettings {
        /// Position of the record that starts the instance.
        record: usize,
        /// The error with the key of the rejected value.
        source: InvalidSettings,
    },
    /// A record that concerns an instance comes before the frame's first `switch_to`.
    #[error("record {record}: no switch_to record precedes it")]
    NoInstance {
        /// Position of the record that concerns an instance.
        record: usize,
    },
    /// An event is meant for an instance that was never started or that has been killed.
    #[error("record {record}: instance {instance} is not running")]
    InstanceNotRunning {
        /// Position of the event's record.
        record: usize,
        /// The instance that does not run.
        instance: InstanceId,
    },
}

/// A running instance: the balancer of one simulated node, and how its load reports are laid out.
struct Instance {
    balancer: Balancer,
    /// The fields of load reports in its events, in their order.
    load_report_fields: Vec<LoadReportField>,
}

/// Whether the rest of a frame is handled.
enum Progress {
    /// The next record is handled.
    Continue,
    /// The balancer has panicked, and the reply reports that. The remaining records are dropped.
    DecisionFailed,
}

/// The instances that run in this process, and the reply to the frame being handled.
#[derive(Default)]
pub struct InstanceTable {
    running: FxHashMap<InstanceId, Instance>,
    /// The instance that the next records concern; `None` until a frame's first `switch_to`.
    current: Option<InstanceId>,
    /// The reply to the current frame, as far as it is built.
    reply: ActionFrame,
    /// The actions of the current event; empty between events.
    actions: Vec<Action>,
}

impl InstanceTable {
    /// Handles one frame of events and returns the frame of the resulting actions.
    ///
    /// A panic of the balancer is not an error: the reply reports it, and the frame's remaining
    /// records are dropped.
    ///
    /// # Errors
    ///
    /// [`FrameError`] names the record that cannot be handled, or what is wrong with the frame's
    /// header. The records before the named one have taken effect, but their actions are lost.
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

    /// Decodes and handles the record at position `record` of a frame. If a record cannot be
    /// decoded and the current instance does not run, the latter is the error that is returned.
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

    /// Returns the fields of the current instance's load reports, in their order; none if no
    /// instance is current or if it does not run.
    fn load_report_fields(&self) -> &[LoadReportField] {
        self.current
            .and_then(|instance| self.running.get(&instance))
            .map_or(&[], |instance| &instance.load_report_fields)
    }

    /// Returns the current instance, which need not run.
    fn current_instance(&self, record: usize) -> Result<InstanceId, FrameError> {
        self.current.ok_or(FrameError::NoInstance { record })
    }

    /// Returns the current instance, which has to run.
    fn running_instance(&self, record: usize) -> Result<InstanceId, FrameError> {
        let instance = self.current_instance(record)?;
        if self.running.contains_key(&instance) {
            Ok(instance)
        } else {
            Err(FrameError::InstanceNotRunning { record, instance })
        }
    }

    /// Starts the current instance with these JSON settings. If it runs already, a new one replaces
    /// it.
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

    /// Passes an event to the current instance's balancer and adds its actions to the reply. If the
    /// balancer panics, the actions up to then are added, and after them the panic's message.
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

/// Returns the message of a panic, or a fixed text if its payload is not a string.
fn panic_message(payload: &(dyn Any + Send)) -> &str {
    if let Some(message) = payload.downcast_ref::<String>() {
        message
    } else if let Some(message) = payload.downcast_ref::<&str>() {
        message
    } else {
        "panic without a message"
    }
}
