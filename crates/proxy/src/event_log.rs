//! The log of the process: lines on standard error that begin with the node's name.

use std::fmt;
use std::io::Write as _;
use std::rc::Rc;

/// Writes the log lines of one node. Clones are cheap and write to the same log.
#[derive(Clone)]
pub struct EventLog {
    node_name: Rc<str>,
}

impl EventLog {
    /// Creates a log whose lines begin with `node_name` and a colon.
    pub fn new(node_name: &str) -> Self {
        EventLog {
            node_name: node_name.into(),
        }
    }

    /// Writes one line. Errors of writing are ignored.
    pub fn log(&self, line: fmt::Arguments) {
        // `eprintln!` would panic once standard error is closed, but the proxy must keep serving.
        let _ = writeln!(std::io::stderr(), "{}: {line}", self.node_name);
    }
}
