//! The JSON settings of an instance, turned into [`balancer::Settings`].
//!
//! This crate is the one place that knows the protocol's own keys and values; all other code uses the
//! balancer's terms.
//!
//! Read: `balancers`, `profiles` (with `runs_in` and `kinds_open`), `registry_mode`, `report`,
//! `rules`, `tenants`, `over_share_worth`, `weights`, `worth_by`, `zone`, `zones`, `kinds`, and of
//! `limits` the attempts, the permissions, Retry-After, `conn_idle_ns` and `connect_timeout_ns`. The
//! names of classes, tenants, zones, machine types and load report fields are kept beside the
//! settings, for a node that meets them in messages.
//!
//! Skipped, since no decision uses them: `prices`, `goal`, `clients`, `extra`, `me`, `tier`,
//! `tiers`, `tick_ns`, `limits.max_open`, `limits.streams_per_conn`, `limits.cpu_*`,
//! `limits.peer_messages`, `rules.answer_slack_ns` (requests are answered by the deadline itself)
//! and the load report's `errors_per_s`.

mod conversion;
mod document;
mod errors;
mod load_report_field;
mod names;

pub use errors::{InvalidSettings, ParseError};
pub use load_report_field::LoadReportField;
pub use names::SettingNames;

use balancer::Settings;
use document::SettingsDocument;

/// What an instance is started with.
#[derive(Debug)]
pub struct InstanceSettings {
    /// The balancer's settings, not yet checked by [`Settings::check`].
    pub settings: Settings,
    /// The figures of a load report, in the order in which a message without names carries them.
    pub load_report_fields: Vec<LoadReportField>,
    /// The names by which messages refer to classes, tenants and so on.
    pub names: SettingNames,
}

/// Reads an instance's settings. Unknown keys are skipped; unknown values are errors.
///
/// # Errors
///
/// [`ParseError`] names the key at which the text isn't JSON, lacks a value or holds one of the wrong
/// type.
pub fn parse(text: &[u8]) -> Result<InstanceSettings, ParseError> {
    let document = SettingsDocument::read(text)?;
    Ok(InstanceSettings::from(document))
}
