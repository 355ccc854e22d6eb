//! Tests of the adapter with frames written by hand: the byte examples of the wire protocol's
//! documentation, malformed frames, settings, the table of instances and the program itself.

mod action_records;
mod event_records;
mod instances;
mod malformed_frames;
mod program;
mod settings_record;
mod support;
