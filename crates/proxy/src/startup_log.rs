//! The log lines that the process writes when it starts.

use crate::event_log::EventLog;
use crate::resource_limits::PoolSizes;
use crate::startup::{
    local_address, Listeners, OpenedOperatorState, StartupError, STATE_DIRECTORY_VARIABLE,
};
use balancer::Settings;
use settings::{InstanceSettings, SettingNames};

/// Logs the address for clients, the settings, and any reason why the stored operator state is not
/// used or not kept.
///
/// # Errors
///
/// Returns [`StartupError::Listener`] if the address of the listener for clients cannot be read.
pub fn log_start(
    log: &EventLog,
    listeners: &Listeners,
    settings_summary: &str,
    operator_state: &OpenedOperatorState,
) -> Result<(), StartupError> {
    let address = local_address(&listeners.clients)?;
    log.log(format_args!("listening on {address}"));
    log.log(format_args!("{settings_summary}"));
    if let Some(load_error) = &operator_state.load_error {
        log.log(format_args!("stored operator state ignored: {load_error}"));
    }
    if operator_state.is_operated && !operator_state.is_stored {
        log.log(format_args!(
            "{STATE_DIRECTORY_VARIABLE} is not set: maintenance and drain state ends with this process"
        ));
    }
    Ok(())
}

/// Formats the log line with the settings in force and the sizes of the connection pools.
pub fn settings_summary(instance: &InstanceSettings, pool_sizes: PoolSizes) -> String {
    let settings = &instance.settings;
    let limits = &settings.protocol_limits;
    format!(
        "settings nodes={} slow_start_initial_capacity={} overload_multiple={} slow_start_ms={} \
         drain_grace_ms={} idle_timeout_ms={} max_retry_after_ms={} clients={} upstream={} \
         memory_kib={} {}",
        settings.nodes,
        limits.slow_start_initial_capacity,
        limits.overload_multiple,
        limits.slow_start_duration.as_millis(),
        limits.drain_grace.as_millis(),
        settings.idle_timeout.as_millis(),
        settings.max_retry_after.unwrap_or_default().as_millis(),
        pool_sizes.client_connections,
        pool_sizes.upstream_connections,
        pool_sizes.memory_bytes >> 10,
        classes_summary(&instance.names, settings)
    )
}

/// Formats the latency objective and the deadline of each request class.
fn classes_summary(names: &SettingNames, settings: &Settings) -> String {
    let classes: Vec<String> = names
        .classes
        .iter()
        .zip(&settings.classes)
        .map(|(name, class)| {
            format!(
                "{}:latency_objective_ms={}:deadline_ms={}",
                name.escape_debug(),
                class.latency_objective.as_millis(),
                class.deadline.as_millis()
            )
        })
        .collect();
    classes.join(" ")
}
