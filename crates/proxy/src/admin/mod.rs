//! The admin server: accepts operators' commands and changes the operator state accordingly.

mod commands;
pub mod operator_control;
pub mod server;
