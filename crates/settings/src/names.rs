//! The names that the settings give to classes, tenants and so on.

/// What the settings' positions are called in messages: the name of [`balancer::ClassId`]`(2)` is
/// `classes[2]`.
#[derive(Debug, Default)]
pub struct SettingNames {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Machine types.
    pub machine_types: Vec<String>,
    /// Figures of a load report.
    pub load_report_fields: Vec<String>,
}
