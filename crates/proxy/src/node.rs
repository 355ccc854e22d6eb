//! The proxy process: reads the configuration, wires the parts together, runs until a signal and
//! shuts down.

use crate::admin::server;
use crate::admin::server::AdminServer;
use crate::config::{Config, ConfigError, ConfigText};
use crate::discovery::state::{DiscoveryEvent, DiscoveryMode};
use crate::discovery::watch_loop::EndpointWatcher;
use crate::downstream::listener::Listener;
use crate::event_log::EventLog;
use crate::listener_inheritance::inherit_listener;
use crate::metrics::Metrics;
use crate::operator_state::store::OperatorStateStore;
use crate::requests::dispatcher::Dispatcher;
use crate::resource_limits::ResourceLimits;
use crate::shutdown::ShutdownController;
use crate::transient_errors::retry_at_start;
use crate::upstream::backend_registry::BackendRegistry;
use crate::upstream::exchange::UpstreamClient;
use crate::upstream::pool::{ConnectionPool, PoolLimits};
use crate::{metrics, send_invariants, transient_errors};
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

/// How often a process looks for another of its node, and for what that one was told.
const LOOK: Duration = Duration::from_millis(100);
/// Where lists are pushed, a new process waits so long for its first before it goes by the one of
/// its configuration.
const FIRST_LIST: Duration = Duration::from_millis(600);
/// For so long a configuration that can't be read is asked for again: what the new discovery says
/// counts as told 4 s after the signal.
const RELOAD_PATIENCE: Duration = Duration::from_secs(2);
/// How often it looks whether it can serve.
const UNREADY: Duration = Duration::from_millis(10);
/// Connections that the system holds until they are accepted.
const BACKLOG: u32 = 1024;

/// Reads the configuration named by the environment and runs the proxy until it is told to stop.
///
/// # Errors
///
/// Returns the first failure of the start: a configuration that cannot be used, an address that
/// cannot be bound, a runtime that cannot be built.
pub fn run_from_environment() -> Result<(), Box<dyn Error>> {
    let text = ConfigText::from_env(|path| {
        retry_at_start(format_args!("reading {path}"), || {
            std::fs::read_to_string(path)
        })
    })?;
    let config = text.parse()?;
    let build = || {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
    };
    let runtime = retry_at_start("the runtime's start", build)?;
    LocalSet::new().block_on(&runtime, run(config))
}

async fn run(config: Config) -> Result<(), Box<dyn Error>> {
    let handled = |kind| retry_at_start("the handling of a signal", || signal(kind));
    let mut terminate = handled(SignalKind::terminate())?;
    let mut interrupt = handled(SignalKind::interrupt())?;
    // Without a handler SIGHUP ends the process; with one it is borne to the very end.
    let mut hangup = handled(SignalKind::hangup())?;
    let settings = config.site.settings;
    let longest = settings
        .classes
        .iter()
        .map(|c| c.deadline)
        .max()
        .unwrap_or_default();
    let warm_up = settings.protocol_limits.slow_start_duration;
    let effects = settings.classes.iter().map(|c| c.idempotency).collect();
    let operated = config.console.is_some() || config.inherited.is_some();
    let place = std::env::var_os("TMPDIR").filter(|_| operated);
    let unkept = operated && place.is_none();
    let (keeper, unread) = OperatorStateStore::open(place.map(Into::into), &config.name);
    let keeper = Rc::new(keeper);
    let resource_limits = ResourceLimits::new(
        config.sockets,
        config.memory,
        config.console.map_or(0, |_| server::SOCKETS),
    );
    let mut accompanied = keeper.peer_process_running();
    let pool_sizes = resource_limits.pool_sizes(accompanied);
    let clients = pool_sizes.client_connections;
    let limits = PoolLimits {
        max_connections: pool_sizes.upstream_connections,
        connect_timeout: or(settings.connect_timeout, Duration::from_millis(250)),
        idle_timeout: or(settings.idle_timeout, Duration::from_secs(5)),
    };
    let classes = config.site.names.classes.iter().zip(&settings.classes);
    let classes: Vec<String> = classes
        .map(|(name, c)| {
            format!(
                "{}:aim_ms={}:deadline_ms={}",
                name.escape_debug(),
                ms(c.latency_objective),
                ms(c.deadline)
            )
        })
        .collect();
    let figures = format!(
        "settings nodes={} cold_from={} fall_multiple={} warm_up_ms={} drain_grace_ms={} \
         conn_idle_ms={} max_retry_after_ms={} clients={clients} \
         upstream={} {}",
        settings.nodes,
        settings.protocol_limits.slow_start_initial_capacity,
        settings.protocol_limits.overload_multiple,
        ms(settings.protocol_limits.slow_start_duration),
        ms(settings.protocol_limits.drain_grace),
        ms(settings.idle_timeout),
        ms(settings.max_retry_after.unwrap_or_default()),
        limits.max_connections,
        classes.join(" ")
    );
    let metrics = Rc::new(Metrics::new());
    let pool = Rc::new(ConnectionPool::new(limits, metrics.clone()));
    let client = UpstreamClient::new(
        pool.clone(),
        &config.site.names,
        &config.site.load_report_fields,
        metrics,
    );
    let backends = BackendRegistry::new(config.site.names, pool.clone());
    let log = EventLog::new(&config.name);
    let mode = if settings.polled_discovery {
        DiscoveryMode::Polled
    } else {
        DiscoveryMode::Pushed
    };
    let watcher = EndpointWatcher::new(mode, config.discovery, config.seed, log.clone());
    let refreshed = watcher.clone();
    let engine = Dispatcher::new(
        log,
        settings,
        config.seed,
        Rc::new(backends),
        Rc::new(client),
        move || refreshed.refresh(),
    )?;
    let dispatcher = Rc::downgrade(&engine);
    watcher.set_event_handler(move |event| {
        let Some(dispatcher) = dispatcher.upgrade() else {
            return;
        };
        match event {
            DiscoveryEvent::EndpointList(list) => dispatcher.list(list),
            DiscoveryEvent::WatchOpened => dispatcher.endpoint_list_unchanged(),
            DiscoveryEvent::WatchFailed => dispatcher.endpoint_list_failed(),
        }
    });
    let bound = |address| {
        let listening = retry_at_start(format_args!("the listener at {address}"), || {
            listen(address)
        });
        listening.map_err(|e| format!("cannot listen on {address}: {e}"))
    };
    let inherited = config.inherited.is_some();
    let listener = match &config.inherited {
        Some(number) => TcpListener::from_std(inherit_listener(number, config.listen)?)?,
        None => bound(config.listen)?,
    };
    let listening_since = tokio::time::Instant::now();
    let calls = config.console.map(bound).transpose()?;
    engine.log(format_args!("listening on {}", listener.local_addr()?));
    engine.log(format_args!("{figures}"));
    unread
        .iter()
        .for_each(|problem| engine.log(format_args!("taken as empty: {problem}")));
    if unkept {
        engine.log(format_args!(
            "TMPDIR is not set: maintenance and drain end with this process"
        ));
    }
    let shutdown = Rc::new(ShutdownController::new());
    let console = AdminServer::new(engine.clone(), shutdown.clone(), keeper.clone(), warm_up);
    engine.known(config.known.as_ref());
    watcher.start(engine.revision());
    let (reloading, rewatching) = (engine.clone(), watcher.clone());
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            reload(&reloading, &rewatching).await;
        }
    });
    let expiring = pool.clone();
    spawn_local(async move { expiring.close_expired().await });
    let counted = engine.clone();
    spawn_local(async move {
        let mut every = tokio::time::interval_at(
            tokio::time::Instant::now() + metrics::LOG_INTERVAL,
            metrics::LOG_INTERVAL,
        );
        loop {
            every.tick().await;
            counted.log_stats();
        }
    });
    if let Some(calls) = calls {
        engine.log(format_args!("console at {}", calls.local_addr()?));
        spawn_local(console.clone().serve(calls));
    }
    let frontend = Listener::new(
        engine.clone(),
        effects,
        clients,
        listening_since,
        shutdown.subscribe(),
    );
    if operated {
        let (engine, keeper, frontend) = (engine.clone(), keeper.clone(), frontend.clone());
        spawn_local(async move {
            let mut every = tokio::time::interval(LOOK);
            loop {
                every.tick().await;
                console.look().await;
                let now = keeper.peer_process_running();
                if std::mem::replace(&mut accompanied, now) != now {
                    let sizes = resource_limits.pool_sizes(now);
                    frontend.resize(sizes.client_connections);
                    pool.resize(sizes.upstream_connections);
                    engine.log(format_args!(
                        "accompanied={now} clients={} upstream={}",
                        sizes.client_connections, sizes.upstream_connections
                    ));
                }
            }
        });
    }
    let ending = frontend.clone();
    let (serving, beside, ready) = (frontend.clone(), keeper.clone(), engine.clone());
    let settling = watcher.clone();
    let served = spawn_local(async move {
        // A request that is read now would go by a list that may be old.
        let by = tokio::time::Instant::now() + FIRST_LIST;
        while !settling.is_settled() && tokio::time::Instant::now() < by {
            tokio::time::sleep(UNREADY).await;
        }
        // While this process has no list, the one beside it can serve what comes.
        while inherited && !ready.ready() && beside.peer_process_running() {
            tokio::time::sleep(UNREADY).await;
        }
        serving.serve(listener).await;
    });
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let handing_over = inherited && keeper.peer_process_running();
    engine.log(format_args!("leaving handing_over={handing_over}"));
    shutdown
        .run(handing_over, longest, served, || {
            ending.has_requests_in_progress()
        })
        .await;
    let open = engine.open_requests();
    if send_invariants::may_exit(open).is_err() {
        engine.log(format_args!("violations_ProcessExit={open}"));
    }
    engine.log(format_args!("left"));
    Ok(())
}

/// Reads the configuration again. The whole file is checked before anything of it is used: one that
/// is bad changes nothing. What the file says prevails now over what the environment said at the
/// start.
async fn reload(engine: &Dispatcher, watcher: &EndpointWatcher) {
    match read_again(engine).await.and_then(|text| text.parse()) {
        Ok(config) => {
            engine.log(format_args!("configuration read again"));
            config
                .discovery_in_file
                .into_iter()
                .for_each(|address| watcher.change_address(address));
        }
        Err(error) => engine.log(format_args!("the configuration stays as it is: {error}")),
    }
}

/// Reads the configuration's text. Where that fails for a moment the signal is owed another try: it
/// isn't sent again.
async fn read_again(engine: &Dispatcher) -> Result<ConfigText, ConfigError> {
    let by = tokio::time::Instant::now() + RELOAD_PATIENCE;
    let mut logged = false;
    loop {
        match ConfigText::from_env(|path| std::fs::read_to_string(path)) {
            Err(ConfigError::Unreadable { path, source })
                if transient_errors::may_pass(&source) && tokio::time::Instant::now() < by =>
            {
                if !std::mem::replace(&mut logged, true) {
                    engine.log(format_args!(
                        "reading {path} failed, and is tried again: {source}"
                    ));
                }
                tokio::time::sleep(transient_errors::TRY_AGAIN).await;
            }
            read => return read,
        }
    }
}

fn ms(time: Duration) -> u128 {
    time.as_millis()
}

fn or(figure: Duration, otherwise: Duration) -> Duration {
    if figure.is_zero() {
        otherwise
    } else {
        figure
    }
}

fn listen(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
