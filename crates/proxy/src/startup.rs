//! What the process acquires at its start: signal handlers, listeners and the stored
//! operator state. Failures that may pass are retried, as [`retry_at_start`] does.

use crate::config::ListenConfig;
use crate::listener_inheritance::{inherit_listener, InheritError};
use crate::operator_state::store::{OperatorStateStore, StoreError};
use crate::transient_errors::retry_at_start;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::Instant;

/// Connections that the system holds until they are accepted.
const ACCEPT_BACKLOG: u32 = 1024;
/// The variable that names the folder of the stored operator state.
pub const STATE_FOLDER_VARIABLE: &str = "TMPDIR";

/// Why the process cannot have what it needs from the system.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// A signal cannot be handled.
    #[error("cannot handle signals: {0}")]
    Signals(io::Error),
    /// The inherited listener cannot be used.
    #[error("{0}")]
    Inherit(#[from] InheritError),
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A listener is open and cannot be used.
    #[error("unusable listener: {0}")]
    Listener(io::Error),
}

/// The signals that the process handles.
pub struct Signals {
    /// Those that end the process.
    pub termination: TerminationSignals,
    /// SIGHUP, which asks for a reload of the configuration. Without a handler it would end the
    /// process, so that this one has to stay until the process ends.
    pub hangup: Signal,
}

/// The signals that end the process.
pub struct TerminationSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if one cannot be installed.
    pub fn install() -> Result<Self, StartupError> {
        let install = |kind| {
            retry_at_start("the handling of a signal", || signal(kind))
                .map_err(StartupError::Signals)
        };
        Ok(Signals {
            termination: TerminationSignals {
                terminate: install(SignalKind::terminate())?,
                interrupt: install(SignalKind::interrupt())?,
            },
            hangup: install(SignalKind::hangup())?,
        })
    }
}

impl TerminationSignals {
    /// Waits for a signal.
    pub async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The sockets that the process listens on.
pub struct Listeners {
    /// For clients.
    pub clients: TcpListener,
    /// Since when clients may have connected.
    pub listening_since: Instant,
    /// For operators, if configured.
    pub admin: Option<TcpListener>,
}

impl Listeners {
    /// Binds the configured addresses, or uses an inherited listener.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the inherited listener is not the configured one.
    pub fn open(config: &ListenConfig) -> Result<Self, StartupError> {
        let clients = match &config.inherited_descriptor {
            Some(number) => {
                let listener = inherit_listener(number, config.clients)?;
                TcpListener::from_std(listener).map_err(StartupError::Listener)?
            }
            None => bind(config.clients)?,
        };
        let listening_since = Instant::now();
        Ok(Listeners {
            clients,
            listening_since,
            admin: config.admin.map(bind).transpose()?,
        })
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, StartupError> {
    retry_at_start(format_args!("the listener at {address}"), || {
        listen(address)
    })
    .map_err(|source| StartupError::Bind { address, source })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// The address that a listener is bound to.
///
/// # Errors
///
/// Fails with the error of the system.
pub fn local_address(listener: &TcpListener) -> Result<SocketAddr, StartupError> {
    listener.local_addr().map_err(StartupError::Listener)
}

/// The operator state at the process's start.
pub struct OpenedOperatorState {
    /// Its store.
    pub store: Rc<OperatorStateStore>,
    /// Why the stored state is ignored, if it is.
    pub problem: Option<StoreError>,
    /// Whether operators may change the state, at this process or at a peer process.
    pub is_operated: bool,
    /// Whether the state outlives the process.
    pub is_stored: bool,
}

impl OpenedOperatorState {
    /// Reads the stored state of `node`, if operators may change it and there is a folder for it.
    pub fn open(node: &str, is_operated: bool) -> Self {
        let folder = std::env::var_os(STATE_FOLDER_VARIABLE).filter(|_| is_operated);
        let is_stored = folder.is_some();
        let (store, problem) = OperatorStateStore::open(folder.map(Into::into), node);
        OpenedOperatorState {
            store: Rc::new(store),
            problem,
            is_operated,
            is_stored,
        }
    }
}
