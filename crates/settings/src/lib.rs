//! Reads the JSON settings of an instance and converts them into [`balancer::Settings`].
//!
//! Only this crate knows the protocol's keys and values of settings; all other code uses the
//! balancer's terms.
//!
//! These keys are read: `balancers`, `profiles` (with `runs_in` and `kinds_open`), `registry_mode`,
//! `report`, `rules`, `tenants`, `over_share_worth`, `weights`, `worth_by`, `zone`, `zones`,
//! `kinds`, and of `limits` the number of attempts, the permissions, Retry-After, `conn_idle_ns`
//! and `connect_timeout_ns`. The names of classes, tenants, zones, machine types and load report
//! fields are kept beside the settings, for nodes that receive messages with these names.
//!
//! These are skipped, since no decision uses them: `prices`, `goal`, `clients`, `extra`, `me`,
//! `tier`, `tiers`, `tick_ns`, `limits.max_open`, `limits.streams_per_conn`, `limits.cpu_*`,
//! `limits.peer_messages`, `rules.answer_slack_ns` (requests are answered by the deadline itself),
//! `tenants[].share` and the load report's `errors_per_s`.

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

/// The settings with which an instance starts, and the names that they give.
#[derive(Debug)]
pub struct InstanceSettings {
    /// The balancer's settings, which [`Settings::check`] has not checked yet.
    pub settings: Settings,
    /// The fields of load reports, in the order in which a message without field names carries
    /// them.
    pub load_report_fields: Vec<LoadReportField>,
    /// The names by which messages refer to classes, tenants, zones, machine types and load report
    /// fields.
    pub names: SettingNames,
}

/// Reads an instance's settings. Unknown keys are skipped; unknown values are errors.
///
/// # Errors
///
/// [`ParseError`] names the key at which the text is not JSON, lacks a value, or holds one that is
/// unknown or has the wrong type.
pub fn parse(text: &[u8]) -> Result<InstanceSettings, ParseError> {
    let document = SettingsDocument::read(text)?;
    Ok(InstanceSettings::from(document))
}
