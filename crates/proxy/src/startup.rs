//! What the process acquires at its start: signal handlers, listeners and the stored operator
//! state. Transient failures are retried, as [`retry_at_start`] describes.

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

/// Number of connections that the system queues on a listener until they are accepted.
const ACCEPT_BACKLOG: u32 = 1024;
/// Name of the environment variable that holds the directory of the stored operator state.
pub const STATE_DIRECTORY_VARIABLE: &str = "TMPDIR";

/// Why the process could not acquire what it needs from the system.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// A signal handler could not be installed.
    #[error("cannot install a signal handler: {0}")]
    Signals(io::Error),
    /// The inherited listener cannot be used.
    #[error("{0}")]
    Inherit(#[from] InheritError),
    /// A listener on a configured address could not be opened.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The configured address on which listening failed.
        address: SocketAddr,
        /// The error of the system call.
        source: io::Error,
    },
    /// An open listener could not be registered with the runtime, or its address could not be read.
    #[error("cannot use an open listener: {0}")]
    Listener(io::Error),
}

/// Receivers of the signals that the process handles.
pub struct Signals {
    /// Signals that end the process.
    pub termination: TerminationSignals,
    /// SIGHUP, which requests a reload of the configuration. Without a handler the signal would end
    /// the process, so this receiver must be kept until the process ends.
    pub hangup: Signal,
}

/// Receiver of the signals that end the process: SIGTERM and SIGINT.
pub struct TerminationSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Returns [`StartupError::Signals`] if a handler cannot be installed.
    pub fn install() -> Result<Self, StartupError> {
        let install = |kind| {
            retry_at_start("installing a signal handler", || signal(kind))
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
    /// Waits for SIGTERM or SIGINT.
    pub async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The sockets that the process listens on.
pub struct Listeners {
    /// Listener for clients, opened by the process or inherited.
    pub clients: TcpListener,
    /// When the process opened or inherited the listener for clients. Connections may have entered
    /// its accept queue since then.
    pub listening_since: Instant,
    /// Listener for operators. `None` if no address is configured for them.
    pub admin: Option<TcpListener>,
}

impl Listeners {
    /// Listens on the configured addresses, or takes over an inherited listener for clients.
    ///
    /// # Errors
    ///
    /// Returns [`StartupError::Bind`] if an address cannot be listened on,
    /// [`StartupError::Inherit`] if the inherited descriptor is not a listener on the configured
    /// address, and [`StartupError::Listener`] if the runtime does not accept it.
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

/// Opens a listener on an address, and retries transient failures.
fn bind(address: SocketAddr) -> Result<TcpListener, StartupError> {
    retry_at_start(format_args!("opening the listener at {address}"), || {
        listen(address)
    })
    .map_err(|source| StartupError::Bind { address, source })
}

/// Opens a listener that may reuse an address on which earlier connections have not expired yet.
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

/// Returns the address that a listener is bound to.
///
/// # Errors
///
/// Returns [`StartupError::Listener`] with the error of the system call.
pub fn local_address(listener: &TcpListener) -> Result<SocketAddr, StartupError> {
    listener.local_addr().map_err(StartupError::Listener)
}

/// The store of the operator state as opened at the process's start.
pub struct OpenedOperatorState {
    /// The store, with the stored state if that is usable.
    pub store: Rc<OperatorStateStore>,
    /// Why the stored state is ignored. `None` if it is used or there is none.
    pub load_error: Option<StoreError>,
    /// Whether operators can change the state, through this process or a peer process.
    pub is_operated: bool,
    /// Whether the state outlives the process.
    pub is_stored: bool,
}

impl OpenedOperatorState {
    /// Opens the store of `node`. The stored state is read only if operators can change it and
    /// [`STATE_DIRECTORY_VARIABLE`] is set; otherwise the store has no directory.
    pub fn open(node: &str, is_operated: bool) -> Self {
        let directory = std::env::var_os(STATE_DIRECTORY_VARIABLE).filter(|_| is_operated);
        let is_stored = directory.is_some();
        let (store, load_error) = OperatorStateStore::open(directory.map(Into::into), node);
        OpenedOperatorState {
            store: Rc::new(store),
            load_error,
            is_operated,
            is_stored,
        }
    }
}
