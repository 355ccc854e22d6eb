//! The process's log: lines on standard error that begin with the node's name.

use std::fmt;
use std::io::Write as _;
use std::rc::Rc;

/// Writes log lines for one node. Clones share the node's name.
#[derive(Clone)]
pub struct EventLog {
    node_name: Rc<str>,
}

impl EventLog {
    /// A log whose lines begin with `node_name`.
    pub fn new(node_name: &str) -> Self {
        EventLog {
            node_name: node_name.into(),
        }
    }

    /// Writes one line.
    pub fn log(&self, line: fmt::Arguments) {
        // `eprintln!` would panic once standard error is closed, and the proxy has to go on serving.
        let _ = writeln!(std::io::stderr(), "{}: {line}", self.node_name);
    }
}
