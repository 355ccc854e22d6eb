//! The adapter on frames written by hand: the wire page's byte examples, malformed frames, the table of
//! instances and the program itself.

mod action_records;
mod event_records;
mod instances;
mod malformed_frames;
mod program;
mod settings_record;
mod support;
