//! Reloads the configuration file on SIGHUP.

use crate::config::{ConfigError, ConfigText};
use crate::discovery::watch_loop::EndpointWatcher;
use crate::event_log::EventLog;
use crate::transient_errors::{self, RETRY_INTERVAL};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::{sleep, Instant};

/// How long reading the file is retried after transient errors.
const MAX_RETRY_DURATION: Duration = Duration::from_secs(2);

/// Reloads the configuration whenever `hangup` receives a signal, for as long as the process runs.
pub async fn run(mut hangup: Signal, log: EventLog, endpoint_watcher: Rc<EndpointWatcher>) {
    while hangup.recv().await.is_some() {
        reload(&log, &endpoint_watcher).await;
    }
}

/// Reloads the configuration. The whole file is checked before any of it is used, and an invalid
/// file changes nothing. From a valid file only the discovery address is used; it takes precedence
/// over that of the environment from then on.
async fn reload(log: &EventLog, endpoint_watcher: &EndpointWatcher) {
    match read_text(log).await.and_then(|text| text.parse()) {
        Ok(config) => {
            log.log(format_args!("configuration reloaded"));
            if let Some(address) = config.discovery_in_file {
                endpoint_watcher.change_address(address);
            }
        }
        Err(error) => log.log(format_args!(
            "configuration reload rejected, keeping the current one: {error}"
        )),
    }
}

/// Reads the text of the configuration file. Transient errors are retried for up to
/// [`MAX_RETRY_DURATION`], since the signal is not sent again.
///
/// # Errors
///
/// Returns the error of the last attempt.
async fn read_text(log: &EventLog) -> Result<ConfigText, ConfigError> {
    let deadline = Instant::now() + MAX_RETRY_DURATION;
    let mut is_logged = false;
    loop {
        match ConfigText::from_env(|path| std::fs::read_to_string(path)) {
            Err(ConfigError::Unreadable { path, source })
                if transient_errors::is_transient(&source) && Instant::now() < deadline =>
            {
                if !is_logged {
                    log.log(format_args!("reading {path} failed, retrying: {source}"));
                }
                is_logged = true;
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}
