//! Load reports as backends send them: a JSON object of numbers, in a response header or in the
//! body of the response to a load probe.

use balancer::LoadReport;
use hyper::header::{HeaderMap, HeaderName};
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, Visitor};
use settings::LoadReportField;
use std::borrow::Cow;
use std::fmt;

/// Response header that holds a load report.
const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");

/// Parses load reports, whose field names are defined in the settings.
pub struct LoadReportReader {
    fields: Vec<NamedField>,
}

/// The JSON name of a load report field and its meaning.
struct NamedField {
    name: String,
    field: LoadReportField,
}

impl LoadReportReader {
    /// Creates a reader for `fields`, whose JSON names are `names` in the same order.
    pub fn new(names: &[String], fields: &[LoadReportField]) -> Self {
        let named = names.iter().zip(fields).map(|(name, field)| NamedField {
            name: name.clone(),
            field: *field,
        });
        LoadReportReader {
            fields: named.collect(),
        }
    }

    /// Returns the load report in a response's headers, or `None` if there is no valid one.
    pub fn read_headers(&self, headers: &HeaderMap) -> Option<LoadReport> {
        self.read_json(headers.get(SERVER_LOAD)?.as_bytes())
    }

    /// Returns the load report in a JSON text, or `None` if the text is malformed or sets no field
    /// of a report.
    pub fn read_json(&self, text: &[u8]) -> Option<LoadReport> {
        let mut deserializer = serde_json::Deserializer::from_slice(text);
        let report = ReportSeed(self).deserialize(&mut deserializer).ok()?;
        deserializer.end().ok()?;
        (report != LoadReport::default()).then_some(report)
    }

    /// Returns the meaning of the field with this JSON name, or `None` for an unknown one.
    fn field(&self, name: &str) -> Option<LoadReportField> {
        let named = self.fields.iter().find(|field| field.name == name)?;
        Some(named.field)
    }
}

/// Deserializes a report field by field. An intermediate map is avoided, since every response may
/// carry a report.
struct ReportSeed<'a>(&'a LoadReportReader);

impl<'de> DeserializeSeed<'de> for ReportSeed<'_> {
    type Value = LoadReport;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<LoadReport, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for ReportSeed<'_> {
    type Value = LoadReport;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a load report")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<LoadReport, A::Error> {
        let mut report = LoadReport::default();
        while let Some(name) = entries.next_key::<Cow<str>>()? {
            match self.0.field(&name) {
                Some(field) => field.set(&mut report, entries.next_value()?),
                None => drop(entries.next_value::<IgnoredAny>()?),
            }
        }
        Ok(report)
    }
}

#[cfg(test)]
#[path = "load_report_header_tests.rs"]
mod tests;
