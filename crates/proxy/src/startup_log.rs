//! What the process logs at its start.

use crate::event_log::EventLog;
use crate::resource_limits::PoolSizes;
use crate::startup::{
    local_address, Listeners, OpenedOperatorState, StartupError, STATE_FOLDER_VARIABLE,
};
use balancer::Settings;
use settings::{InstanceSettings, SettingNames};

/// Logs what the process starts with.
///
/// # Errors
///
/// Fails if a listener's address cannot be read.
pub fn log_start(
    log: &EventLog,
    listeners: &Listeners,
    settings_summary: &str,
    operator_state: &OpenedOperatorState,
) -> Result<(), StartupError> {
    let address = local_address(&listeners.clients)?;
    log.log(format_args!("listening on {address}"));
    log.log(format_args!("{settings_summary}"));
    if let Some(problem) = &operator_state.problem {
        log.log(format_args!("stored operator state ignored: {problem}"));
    }
    if operator_state.is_operated && !operator_state.is_stored {
        log.log(format_args!(
            "{STATE_FOLDER_VARIABLE} is not set: maintenance and drain state ends with this process"
        ));
    }
    Ok(())
}

/// The log line with the settings in force.
pub fn settings_summary(instance: &InstanceSettings, pool_sizes: PoolSizes) -> String {
    let settings = &instance.settings;
    let limits = &settings.protocol_limits;
    format!(
        "settings nodes={} slow_start_initial_capacity={} overload_multiple={} slow_start_ms={} \
         drain_grace_ms={} idle_timeout_ms={} max_retry_after_ms={} clients={} upstream={} {}",
        settings.nodes,
        limits.slow_start_initial_capacity,
        limits.overload_multiple,
        limits.slow_start_duration.as_millis(),
        limits.drain_grace.as_millis(),
        settings.idle_timeout.as_millis(),
        settings.max_retry_after.unwrap_or_default().as_millis(),
        pool_sizes.client_connections,
        pool_sizes.upstream_connections,
        classes_summary(&instance.names, settings)
    )
}

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
