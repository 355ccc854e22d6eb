use super::*;

fn reader() -> LoadReportReader {
    let names = ["busy", "speed", "ms", "spare"].map(str::to_owned);
    let fields = [
        LoadReportField::Utilization,
        LoadReportField::Throughput,
        LoadReportField::ServiceTimeMs,
        LoadReportField::Unused,
    ];
    LoadReportReader::new(&names, &fields)
}

#[test]
fn fields_are_read_by_their_names_in_the_settings() {
    let report = reader().read_json(br#"{"other": [1, {"a": 2}], "ms": 20, "busy": 0.5}"#);
    let expected = LoadReport {
        utilization: Some(0.5),
        service_time: Some(0.02),
        ..LoadReport::default()
    };
    assert_eq!(report, Some(expected));
}

#[test]
fn malformed_reports_and_reports_without_a_known_field_are_none() {
    for text in [
        "",
        "{}",
        "[0.5]",
        r#"{"spare": 1}"#,
        r#"{"other": 1}"#,
        r#"{"busy": "0.5"}"#,
        r#"{"busy": 0.5"#,
        r#"{"busy": 0.5} x"#,
    ] {
        assert_eq!(reader().read_json(text.as_bytes()), None, "{text}");
    }
}

#[test]
fn a_report_is_read_from_its_header() {
    let mut headers = HeaderMap::new();
    assert_eq!(reader().read_headers(&headers), None);
    let value = r#"{"speed": 3}"#.parse().expect("a header value");
    headers.insert(SERVER_LOAD, value);
    let report = reader().read_headers(&headers).expect("a report");
    assert_eq!(report.throughput, Some(3.0));
}
