//! Decodes event frames, in which the simulator sends events to instances.

use super::codes::{event, WORK_GIVEN};
use super::errors::{WireError, WireField};
use super::event_layout::{
    arrival, attempt_ended, endpoint, endpoint_list, header, init, load_probe_ended, load_report,
    peer_message, record, request, response_started, switch_to, timer_fired,
};
use super::field_reader::FieldReader;
use super::{
    InstanceId, ENDPOINT_BYTES, EVENT_HEADER_BYTES, EVENT_RECORD_BYTES, MAX_FRAME_BYTES,
    MAX_LOAD_REPORT_FIELDS,
};
use balancer::{
    AttemptOutcome, AttemptResult, BackendId, CellId, ClassId, Endpoint, EndpointState, Event,
    ListUpdate, LoadProbeResult, LoadReport, MachineTypeId, RequestArrival, RequestId, TenantId,
    Time, TimerId, ZoneId,
};
use settings::LoadReportField;

/// Size of a load report in a record, in bytes: the number of values and the values.
const LOAD_REPORT_BYTES: usize = 1 + MAX_LOAD_REPORT_FIELDS * size_of::<f32>();

/// An event frame whose length and number of records have been checked.
#[derive(Debug)]
pub struct EventFrame<'a> {
    /// Time on the simulator's clock at which all events of the frame happen.
    pub now: Time,
    /// Number of event records in the frame.
    count: usize,
    /// The records, each of [`EVENT_RECORD_BYTES`].
    records: &'a [u8],
    /// The data of variable size to which records refer.
    tail: &'a [u8],
}

/// A decoded record of an event frame.
#[derive(Debug)]
pub enum EventRecord<'a> {
    /// The records that follow concern this instance.
    SwitchTo(InstanceId),
    /// The instance starts with an empty state.
    Init {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings as JSON text.
        settings: &'a [u8],
    },
    /// The instance is killed and loses its state.
    PowerOff,
    /// A message from another instance. It is ignored: balancers neither send nor read any.
    PeerMessage,
    /// An event for the balancer.
    Event(Event),
}

/// Returns the length of an event frame that its header announces, in bytes.
///
/// # Errors
///
/// [`WireError::InvalidLength`] if it is shorter than the header or longer than
/// [`MAX_FRAME_BYTES`].
pub fn frame_length(bytes: &[u8; EVENT_HEADER_BYTES]) -> Result<usize, WireError> {
    let length = FieldReader(bytes).u32(header::FRAME_LENGTH) as usize;
    if (EVENT_HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        Ok(length)
    } else {
        Err(WireError::InvalidLength(length))
    }
}

impl<'a> EventFrame<'a> {
    /// Splits a frame into its records and its tail.
    ///
    /// # Errors
    ///
    /// [`WireError::InvalidLength`] if the frame is not as long as its header announces, and
    /// [`WireError::RecordsExceedFrame`] if it is too short for its records.
    pub fn parse(frame: &'a [u8]) -> Result<Self, WireError> {
        let fields = FieldReader(frame);
        if frame.len() < EVENT_HEADER_BYTES
            || fields.u32(header::FRAME_LENGTH) as usize != frame.len()
        {
            return Err(WireError::InvalidLength(frame.len()));
        }
        let count = fields.u32(header::RECORD_COUNT) as usize;
        let body = &frame[EVENT_HEADER_BYTES..];
        if count > body.len() / EVENT_RECORD_BYTES {
            return Err(WireError::RecordsExceedFrame {
                count,
                frame_bytes: frame.len(),
            });
        }
        let (records, tail) = body.split_at(count * EVENT_RECORD_BYTES);
        Ok(EventFrame {
            now: Time(fields.u64(header::NOW)),
            count,
            records,
            tail,
        })
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether the frame has no records.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Decodes the record at position `index`. `load_report_fields` are the fields of the current
    /// instance's load reports, in the order of their values.
    ///
    /// # Errors
    ///
    /// [`WireError`] names the record and its unknown code, or the field that cannot be read.
    ///
    /// # Panics
    ///
    /// If `index` is not below [`len`](Self::len).
    pub fn record(
        &self,
        index: usize,
        load_report_fields: &[LoadReportField],
    ) -> Result<EventRecord<'a>, WireError> {
        let start = index * EVENT_RECORD_BYTES;
        let reader = RecordReader {
            index,
            fields: FieldReader(&self.records[start..start + EVENT_RECORD_BYTES]),
            tail: self.tail,
            load_report_fields,
        };
        match reader.fields.u8(record::CODE) {
            event::SWITCH_TO => Ok(EventRecord::SwitchTo(InstanceId(
                reader.fields.u32(switch_to::INSTANCE),
            ))),
            event::INIT => reader.init(),
            event::POWER_OFF => Ok(EventRecord::PowerOff),
            event::PEER_MESSAGE => reader.peer_message(),
            code => reader.balancer_event(code).map(EventRecord::Event),
        }
    }
}

/// Decodes one record of an event frame.
struct RecordReader<'a, 'b> {
    /// Position of the record in the frame, for errors.
    index: usize,
    /// The bytes of the record.
    fields: FieldReader<'a>,
    /// The tail of the frame.
    tail: &'a [u8],
    /// The fields of the instance's load reports, in the order of their values.
    load_report_fields: &'b [LoadReportField],
}

impl<'a> RecordReader<'a, '_> {
    /// Decodes the start of an instance.
    fn init(&self) -> Result<EventRecord<'a>, WireError> {
        Ok(EventRecord::Init {
            seed: self.fields.u64(init::SEED),
            settings: self.tail_items(WireField::Settings, init::SETTINGS, 1)?,
        })
    }

    /// Decodes a message from another instance, of which only the reference to the tail is checked.
    fn peer_message(&self) -> Result<EventRecord<'a>, WireError> {
        self.tail_items(WireField::PeerMessage, peer_message::MESSAGE, 1)?;
        Ok(EventRecord::PeerMessage)
    }

    /// Decodes an event for the balancer by its code; a code of no such event is an error.
    fn balancer_event(&self, code: u8) -> Result<Event, WireError> {
        match code {
            event::ENDPOINT_LIST => self.endpoint_list(),
            event::REQUEST_ARRIVED => Ok(Event::RequestArrived(self.request_arrival())),
            event::RESPONSE_STARTED => Ok(Event::ResponseStarted {
                request: self.request(),
                attempt: u32::from(self.fields.u8(response_started::ATTEMPT)),
                latency: self.fields.nanoseconds(response_started::LATENCY),
            }),
            event::ATTEMPT_ENDED => self.attempt_result().map(Event::AttemptEnded),
            event::CLIENT_DISCONNECTED => Ok(Event::ClientDisconnected {
                request: self.request(),
            }),
            event::TIMER_FIRED => Ok(Event::TimerFired {
                timer: TimerId(self.fields.u32(timer_fired::TIMER)),
            }),
            event::LOAD_PROBE_ENDED => self.load_probe_result().map(Event::LoadProbeEnded),
            code => Err(WireError::UnknownEvent {
                record: self.index,
                code,
            }),
        }
    }

    /// Returns the id of the request that the record is about.
    fn request(&self) -> RequestId {
        RequestId(self.fields.u64(request::ID))
    }

    /// Decodes the arrival of a request. No record reports the end of a body, so the body counts as
    /// received.
    fn request_arrival(&self) -> RequestArrival {
        let work_given = self.fields.u8(arrival::FLAGS) & WORK_GIVEN != 0;
        RequestArrival {
            request: self.request(),
            tenant: TenantId(self.fields.u16(arrival::TENANT)),
            class: ClassId(self.fields.u8(arrival::CLASS)),
            remaining: self.fields.nanoseconds(arrival::REMAINING),
            work: work_given.then(|| self.fields.nanoseconds(arrival::WORK)),
            body_pending: false,
        }
    }

    /// Decodes the end of an attempt.
    fn attempt_result(&self) -> Result<AttemptResult, WireError> {
        Ok(AttemptResult {
            request: self.request(),
            attempt: u32::from(self.fields.u8(attempt_ended::ATTEMPT)),
            backend: BackendId(self.fields.u32(attempt_ended::BACKEND)),
            outcome: self.outcome(attempt_ended::OUTCOME)?,
            latency: self.fields.nanoseconds(attempt_ended::LATENCY),
            request_closed: self.fields.u8(attempt_ended::REQUEST_CLOSED) != 0,
            load_report: self.load_report(attempt_ended::LOAD_REPORT)?,
        })
    }

    /// Decodes the end of a load probe.
    fn load_probe_result(&self) -> Result<LoadProbeResult, WireError> {
        Ok(LoadProbeResult {
            latency: self.fields.nanoseconds(load_probe_ended::LATENCY),
            backend: BackendId(self.fields.u32(load_probe_ended::BACKEND)),
            outcome: self.outcome(load_probe_ended::OUTCOME)?,
            load_report: self.load_report(load_probe_ended::LOAD_REPORT)?,
        })
    }

    /// Decodes the code of an outcome at `offset`.
    fn outcome(&self, offset: usize) -> Result<AttemptOutcome, WireError> {
        match self.fields.u16(offset) {
            200 => Ok(AttemptOutcome::Success),
            410 => Ok(AttemptOutcome::NotSent),
            499 => Ok(AttemptOutcome::Cancelled),
            500 => Ok(AttemptOutcome::ServerError),
            502 => Ok(AttemptOutcome::ConnectFailed),
            503 => Ok(AttemptOutcome::Rejected),
            504 => Ok(AttemptOutcome::TimedOut),
            598 => Ok(AttemptOutcome::ConnectionReset),
            unknown => Err(self.unknown_value(WireField::Outcome, unknown)),
        }
    }

    /// Decodes the load report at `offset`; `None` if it has no values. It may have fewer values
    /// than the instance's load reports have fields, but not more.
    fn load_report(&self, offset: usize) -> Result<Option<LoadReport>, WireError> {
        let report = FieldReader(self.fields.slice(offset, LOAD_REPORT_BYTES));
        let count = usize::from(report.u8(load_report::COUNT));
        if count == 0 {
            return Ok(None);
        }
        if count > MAX_LOAD_REPORT_FIELDS || count > self.load_report_fields.len() {
            return Err(self.unknown_value(WireField::LoadReport, report.u8(load_report::COUNT)));
        }
        let mut decoded = LoadReport::default();
        for (position, field) in self.load_report_fields[..count].iter().enumerate() {
            let value = report.f32(load_report::VALUES + position * size_of::<f32>());
            field.set(&mut decoded, value);
        }
        Ok(Some(decoded))
    }

    /// Decodes an endpoint list with its entries.
    fn endpoint_list(&self) -> Result<Event, WireError> {
        let update = match self.fields.u8(endpoint_list::UPDATE) {
            0 => ListUpdate::Cached,
            1 => ListUpdate::Failed,
            2 => ListUpdate::Delta,
            3 => ListUpdate::Snapshot,
            unknown => return Err(self.unknown_value(WireField::ListUpdate, unknown)),
        };
        let endpoints = self
            .tail_items(WireField::Endpoints, endpoint_list::ENTRIES, ENDPOINT_BYTES)?
            .chunks_exact(ENDPOINT_BYTES)
            .map(|entry| self.endpoint(FieldReader(entry)))
            .collect::<Result<_, _>>()?;
        Ok(Event::EndpointList { update, endpoints })
    }

    /// Decodes one entry of an endpoint list.
    fn endpoint(&self, entry: FieldReader<'_>) -> Result<Endpoint, WireError> {
        let state = match entry.u8(endpoint::STATE) {
            0 => EndpointState::Removed,
            1 => EndpointState::Active,
            2 => EndpointState::Draining,
            unknown => return Err(self.unknown_value(WireField::EndpointState, unknown)),
        };
        let started_at = entry.u64(endpoint::STARTED_AT);
        let started_at = (started_at > 0).then_some(Time(started_at));
        Ok(Endpoint {
            backend: BackendId(entry.u32(endpoint::BACKEND)),
            zone: ZoneId(entry.u8(endpoint::ZONE)),
            machine_type: MachineTypeId(entry.u8(endpoint::MACHINE_TYPE)),
            cell: CellId(entry.u16(endpoint::CELL)),
            state,
            weight: entry.f32(endpoint::WEIGHT),
            started_at,
            likely_started_at: started_at,
        })
    }

    /// Returns the bytes in the tail to which the field at `offset` refers: it holds the offset of
    /// the first item and the number of items, each of `item_bytes`.
    fn tail_items(
        &self,
        field: WireField,
        offset: usize,
        item_bytes: usize,
    ) -> Result<&'a [u8], WireError> {
        let start = self.fields.u32(offset) as usize;
        let count = self.fields.u32(offset + size_of::<u32>()) as usize;
        self.tail
            .get(start..start + count * item_bytes)
            .ok_or(WireError::OutsideTail {
                record: self.index,
                field,
            })
    }

    /// Returns the error that a field of this record holds an unknown value.
    fn unknown_value(&self, field: WireField, value: impl Into<u64>) -> WireError {
        WireError::UnknownValue {
            record: self.index,
            field,
            value: value.into(),
        }
    }
}
