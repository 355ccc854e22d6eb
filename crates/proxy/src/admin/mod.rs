//! The server for operators: its commands, and what they change.

mod commands;
pub mod operator_control;
pub mod server;
