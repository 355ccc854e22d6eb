//! Reads the configuration again on SIGHUP.

use crate::config::{ConfigError, ConfigText};
use crate::discovery::watch_loop::EndpointWatcher;
use crate::event_log::EventLog;
use crate::transient_errors::{self, RETRY_INTERVAL};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::{sleep, Instant};

/// How long reading is retried that fails for reasons that may pass.
const MAX_RETRY_DURATION: Duration = Duration::from_secs(2);

/// Reloads the configuration at each signal, for as long as the process runs.
pub async fn run(mut hangup: Signal, log: EventLog, endpoint_watcher: Rc<EndpointWatcher>) {
    while hangup.recv().await.is_some() {
        reload(&log, &endpoint_watcher).await;
    }
}

/// Reloads the configuration. The whole file is checked before anything of it is used; a file that is
/// invalid changes nothing. The discovery address of a valid file takes precedence from now on over
/// that of the environment.
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

/// Reads the configuration's text. Failures that may pass are retried, since the signal is not sent
/// again.
async fn read_text(log: &EventLog) -> Result<ConfigText, ConfigError> {
    let deadline = Instant::now() + MAX_RETRY_DURATION;
    let mut is_logged = false;
    loop {
        match ConfigText::from_env(|path| std::fs::read_to_string(path)) {
            Err(ConfigError::Unreadable { path, source })
                if transient_errors::may_pass(&source) && Instant::now() < deadline =>
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
