//! The names that the settings give to classes, tenants, zones, machine types and load report
//! fields.

/// The names by which messages refer to entries of the settings' lists, each at the position of its
/// entry: the name of [`balancer::ClassId`]`(2)` is `classes[2]`.
#[derive(Debug, Default)]
pub struct SettingNames {
    /// Names of the request classes; empty for a class without a name.
    pub classes: Vec<String>,
    /// Names of the tenants; empty for a tenant without a name.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine types.
    pub machine_types: Vec<String>,
    /// Names of the fields of load reports, including those that the balancer does not use.
    pub load_report_fields: Vec<String>,
}
