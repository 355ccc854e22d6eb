//! The proxy process: reads the configuration, builds the parts and connects them, serves until a
//! signal arrives and shuts down.

use crate::admin::operator_control::OperatorControl;
use crate::admin::server::{self, AdminServer};
use crate::allocator;
use crate::config::{Config, ConfigError, ConfigText};
use crate::config_reload;
use crate::discovery::state::{DiscoveryEvent, DiscoveryMode};
use crate::discovery::watch_loop::EndpointWatcher;
use crate::downstream::listener::Listener;
use crate::endpoint_updates::EndpointUpdates;
use crate::event_log::EventLog;
use crate::memory_budget::MemoryBudget;
use crate::memory_monitor;
use crate::metrics::{Metrics, LOG_INTERVAL};
use crate::operator_state::store::OperatorStateStore;
use crate::peer_process::PeerProcessMonitor;
use crate::requests::dispatcher::Dispatcher;
use crate::resource_limits::{PoolSizes, ResourceLimits};
use crate::send_invariants;
use crate::shutdown::ShutdownController;
use crate::startup::{local_address, Listeners, OpenedOperatorState, Signals, StartupError};
use crate::startup_log::{log_start, settings_summary};
use crate::transient_errors::retry_at_start;
use crate::upstream::backend_registry::BackendRegistry;
use crate::upstream::exchange::UpstreamClient;
use crate::upstream::pool::{ConnectionPool, PoolLimits};
use balancer::{Idempotency, Settings};
use settings::InstanceSettings;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{interval_at, sleep, Instant};

/// How long a new process waits for its first endpoint list where lists are pushed, before it
/// serves by the list of its configuration.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which a new process checks whether it can serve.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Limit on the time to connect to a backend, if the settings give none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which backends close idle connections, if the settings give none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why the proxy process could not start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The configuration cannot be read or is invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The asynchronous runtime cannot be built.
    #[error("cannot build the asynchronous runtime: {0}")]
    Runtime(io::Error),
    /// A signal handler cannot be installed, or a listener cannot be opened or used.
    #[error("{0}")]
    Startup(#[from] StartupError),
    /// The balancer's settings contradict each other or are out of range.
    #[error("{0}")]
    Settings(#[from] balancer::SettingsError),
}

/// Reads the configuration that the environment names, and runs the proxy until SIGTERM or SIGINT.
/// Returns after the graceful shutdown.
///
/// # Errors
///
/// Returns the first failure of the start: a configuration that cannot be used, a runtime that
/// cannot be built, a signal handler that cannot be installed, a listener that cannot be opened, or
/// settings that the balancer rejects.
pub fn run_from_environment() -> Result<(), NodeError> {
    allocator::configure();
    let text = ConfigText::from_env(|path| {
        retry_at_start(format_args!("reading {path}"), || {
            std::fs::read_to_string(path)
        })
    })?;
    let config = text.parse()?;
    let build_runtime = || {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
    };
    let runtime =
        retry_at_start("building the runtime", build_runtime).map_err(NodeError::Runtime)?;
    LocalSet::new().block_on(&runtime, run(config))
}

/// Runs the proxy with a configuration, until it has shut down.
async fn run(config: Config) -> Result<(), NodeError> {
    let signals = Signals::install()?;
    Node::build(config)?.run(signals).await
}

/// The parts of a proxy process, built and connected, before it serves.
struct Node {
    log: EventLog,
    /// Values of the settings that parts other than the balancer use.
    derived_settings: DerivedSettings,
    /// Descriptors and memory that the process may use.
    resource_limits: ResourceLimits,
    /// Whether a peer process was running when the connection pools were sized.
    peer_process_running: bool,
    operator_state: OpenedOperatorState,
    /// Whether the listener for clients is inherited, so that a peer process may accept connections
    /// to it.
    inherits_listener: bool,
    listeners: Listeners,
    upstream_pool: Rc<ConnectionPool>,
    dispatcher: Rc<Dispatcher>,
    endpoint_updates: Rc<EndpointUpdates>,
    endpoint_watcher: Rc<EndpointWatcher>,
    shutdown: Rc<ShutdownController>,
    control: Rc<OperatorControl>,
}

impl Node {
    /// Builds the parts, opens the listeners, applies the stored operator state and the configured
    /// endpoint list, and starts watching discovery.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError::Settings`] if the balancer rejects the settings, and
    /// [`NodeError::Startup`] if a listener cannot be opened.
    fn build(config: Config) -> Result<Self, NodeError> {
        let log = EventLog::new(&config.name);
        let operator_state = OpenedOperatorState::open(&config.name, config.listen.is_operated());
        let admin_descriptors = config.listen.admin.map_or(0, |_| server::DESCRIPTORS);
        let resource_limits =
            ResourceLimits::new(config.descriptors, config.memory_bytes, admin_descriptors);
        let peer_process_running = operator_state.store.peer_process_running();
        let pool_sizes = resource_limits.pool_sizes(peer_process_running);
        let derived_settings = DerivedSettings::new(&config.instance.settings);
        let summary = settings_summary(&config.instance, pool_sizes);
        let metrics = Rc::new(Metrics::new());
        let upstream_pool = ConnectionPool::new(
            pool_limits(&config.instance.settings, pool_sizes),
            MemoryBudget::new(pool_sizes.memory_bytes),
            metrics.clone(),
        );
        let endpoint_watcher = EndpointWatcher::new(
            discovery_mode(&config.instance.settings),
            config.discovery,
            config.seed,
            log.clone(),
        );
        let endpoint_updates = build_endpoint_updates(
            &log,
            config.instance,
            config.seed,
            metrics,
            &upstream_pool,
            &endpoint_watcher,
        )?;
        let dispatcher = endpoint_updates.dispatcher().clone();
        let listeners = Listeners::open(&config.listen)?;
        log_start(&log, &listeners, &summary, &operator_state)?;
        let shutdown = Rc::new(ShutdownController::new());
        let control = Rc::new(OperatorControl::new(
            log.clone(),
            endpoint_updates.clone(),
            shutdown.clone(),
            operator_state.store.clone(),
            derived_settings.slow_start_duration,
        ));
        endpoint_updates.apply_configured_list(config.known_endpoints.as_ref());
        endpoint_watcher.start(endpoint_updates.revision());
        Ok(Node {
            log,
            derived_settings,
            resource_limits,
            peer_process_running,
            operator_state,
            inherits_listener: config.listen.inherited_descriptor.is_some(),
            listeners,
            upstream_pool,
            dispatcher,
            endpoint_updates,
            endpoint_watcher,
            shutdown,
            control,
        })
    }

    /// Starts the tasks that need no listener: configuration reload, closing of expired upstream
    /// connections, and logging of statistics.
    fn spawn_background_tasks(&self, hangup: Signal) {
        spawn_local(config_reload::run(
            hangup,
            self.log.clone(),
            self.endpoint_watcher.clone(),
        ));
        let pool = self.upstream_pool.clone();
        spawn_local(async move { pool.close_expired().await });
        spawn_local(memory_monitor::run(self.upstream_pool.memory().clone()));
        spawn_local(log_statistics_at_intervals(self.dispatcher.clone()));
    }

    /// Logs the address of the listener for operators and starts the admin server on it.
    fn spawn_admin_server(&self, listener: TcpListener) -> Result<(), StartupError> {
        let address = local_address(&listener)?;
        self.log.log(format_args!("admin server at {address}"));
        let admin = AdminServer::new(
            self.log.clone(),
            self.dispatcher.clone(),
            self.control.clone(),
        );
        spawn_local(admin.serve(listener));
        Ok(())
    }

    /// Creates the listener for clients, which accepts nothing yet.
    fn client_listener(&self) -> Rc<Listener> {
        let pool_sizes = self.resource_limits.pool_sizes(self.peer_process_running);
        Listener::new(
            self.dispatcher.clone(),
            self.endpoint_updates.clone(),
            self.derived_settings.idempotency.clone(),
            self.upstream_pool.memory().clone(),
            pool_sizes.client_connections,
            self.listeners.listening_since,
            self.shutdown.subscribe(),
        )
    }

    /// Serves until a termination signal arrives, and shuts down gracefully.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError::Startup`] if the address of the listener for operators cannot be read.
    async fn run(mut self, signals: Signals) -> Result<(), NodeError> {
        let Signals {
            mut termination,
            hangup,
        } = signals;
        self.spawn_background_tasks(hangup);
        if let Some(listener) = self.listeners.admin.take() {
            self.spawn_admin_server(listener)?;
        }
        let client_listener = self.client_listener();
        if self.operator_state.is_operated {
            let monitor = PeerProcessMonitor {
                control: self.control,
                operator_state: self.operator_state.store.clone(),
                resource_limits: self.resource_limits,
                listener: client_listener.clone(),
                upstream_pool: self.upstream_pool,
                log: self.log.clone(),
                peer_process_running: self.peer_process_running,
            };
            spawn_local(monitor.run());
        }
        let readiness = Readiness {
            endpoint_watcher: self.endpoint_watcher,
            endpoint_updates: self.endpoint_updates,
            operator_state: self.operator_state.store.clone(),
            inherits_listener: self.inherits_listener,
        };
        let server = client_listener.clone();
        let clients = self.listeners.clients;
        let serving = spawn_local(async move {
            readiness.wait().await;
            server.serve(clients).await;
        });
        termination.recv().await;
        self.operator_state.store.stop_serving();
        let handing_over =
            self.inherits_listener && self.operator_state.store.peer_process_serving();
        self.log
            .log(format_args!("shutting down handing_over={handing_over}"));
        self.shutdown
            .run(
                handing_over,
                self.derived_settings.longest_deadline,
                serving,
                || client_listener.has_requests_in_progress(),
            )
            .await;
        log_shutdown_complete(&self.log, &self.dispatcher, &client_listener);
        Ok(())
    }
}

/// The values that parts other than the balancer need from the balancer's settings.
struct DerivedSettings {
    /// Idempotency of the requests of each class, in the order of the settings' classes.
    idempotency: Vec<Idempotency>,
    /// The longest deadline of any class.
    longest_deadline: Duration,
    /// Length of a backend's slow start.
    slow_start_duration: Duration,
}

impl DerivedSettings {
    /// Extracts the values from the settings.
    fn new(settings: &Settings) -> Self {
        let classes = &settings.classes;
        DerivedSettings {
            idempotency: classes.iter().map(|class| class.idempotency).collect(),
            longest_deadline: classes
                .iter()
                .map(|class| class.deadline)
                .max()
                .unwrap_or_default(),
            slow_start_duration: settings.protocol_limits.slow_start_duration,
        }
    }
}

/// Returns the limits of the upstream connection pool, with defaults for times that the settings do
/// not give.
fn pool_limits(settings: &Settings, pool_sizes: PoolSizes) -> PoolLimits {
    PoolLimits {
        max_connections: pool_sizes.upstream_connections,
        connect_timeout: non_zero_or(settings.connect_timeout, DEFAULT_CONNECT_TIMEOUT),
        idle_timeout: non_zero_or(settings.idle_timeout, DEFAULT_IDLE_TIMEOUT),
    }
}

/// Returns `duration`, or `default` if it is zero.
fn non_zero_or(duration: Duration, default: Duration) -> Duration {
    if duration.is_zero() {
        default
    } else {
        duration
    }
}

/// Returns whether the settings have lists pushed or polled.
fn discovery_mode(settings: &Settings) -> DiscoveryMode {
    if settings.polled_discovery {
        DiscoveryMode::Polled
    } else {
        DiscoveryMode::Pushed
    }
}

/// Builds the dispatcher and the endpoint updates, and connects them with discovery in both
/// directions: the dispatcher requests refreshes, and discovery's events become endpoint updates.
///
/// # Errors
///
/// Returns an error if the balancer rejects the settings.
fn build_endpoint_updates(
    log: &EventLog,
    instance: InstanceSettings,
    seed: u64,
    metrics: Rc<Metrics>,
    upstream_pool: &Rc<ConnectionPool>,
    endpoint_watcher: &Rc<EndpointWatcher>,
) -> Result<Rc<EndpointUpdates>, balancer::SettingsError> {
    let client = UpstreamClient::new(
        upstream_pool.clone(),
        &instance.names,
        &instance.load_report_fields,
        metrics,
    );
    let backends = Rc::new(BackendRegistry::new(instance.names, upstream_pool.clone()));
    let refreshed_watcher = endpoint_watcher.clone();
    let dispatcher = Dispatcher::new(
        log.clone(),
        instance.settings,
        seed,
        backends.clone(),
        Rc::new(client),
        move || refreshed_watcher.refresh(),
    )?;
    let endpoint_updates = EndpointUpdates::new(backends, dispatcher, log.clone());
    let event_receiver = Rc::downgrade(&endpoint_updates);
    endpoint_watcher.set_event_handler(move |event| {
        let Some(updates) = event_receiver.upgrade() else {
            return;
        };
        match event {
            DiscoveryEvent::EndpointList(list) => updates.apply_discovered_list(list),
            DiscoveryEvent::WatchOpened => updates.poll_answered(),
            DiscoveryEvent::WatchFailed => updates.poll_failed(),
        }
    });
    Ok(endpoint_updates)
}

/// Logs the statistics every [`LOG_INTERVAL`]. Never returns.
async fn log_statistics_at_intervals(dispatcher: Rc<Dispatcher>) {
    let mut interval = interval_at(Instant::now() + LOG_INTERVAL, LOG_INTERVAL);
    loop {
        interval.tick().await;
        dispatcher.log_statistics();
    }
}

/// The parts that decide when a new process begins to accept connections.
struct Readiness {
    endpoint_watcher: Rc<EndpointWatcher>,
    endpoint_updates: Rc<EndpointUpdates>,
    operator_state: Rc<OperatorStateStore>,
    inherits_listener: bool,
}

impl Readiness {
    /// Waits until the process should accept connections.
    ///
    /// Waits at most [`FIRST_LIST_TIMEOUT`] for a first endpoint list. If the listener is
    /// inherited, it then waits for a list that names an active endpoint, for as long as a peer
    /// process runs, which can serve the connections meanwhile.
    async fn wait(&self) {
        let deadline = Instant::now() + FIRST_LIST_TIMEOUT;
        while !self.endpoint_watcher.is_first_list_settled() && Instant::now() < deadline {
            sleep(READINESS_POLL_INTERVAL).await;
        }
        while self.inherits_listener
            && !self.endpoint_updates.is_ready()
            && self.operator_state.peer_process_running()
        {
            sleep(READINESS_POLL_INTERVAL).await;
        }
    }
}

/// Logs the end of the shutdown, and before that the statistics of the last interval and the number
/// of requests left without a final response, if there are any.
fn log_shutdown_complete(log: &EventLog, dispatcher: &Dispatcher, client_listener: &Listener) {
    client_listener.count_cut_responses();
    dispatcher.log_statistics();
    let open_requests = dispatcher.open_requests();
    if send_invariants::may_exit(open_requests).is_err() {
        log.log(format_args!("violations_ProcessExit={open_requests}"));
    }
    log.log(format_args!("shutdown complete"));
}
