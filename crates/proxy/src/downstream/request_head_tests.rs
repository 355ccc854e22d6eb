use super::*;

#[test]
fn timeout_is_digits_and_a_unit_within_bounds() {
    assert_eq!(parse_timeout("480m"), Some(Duration::from_millis(480)));
    assert_eq!(parse_timeout("1500u"), Some(Duration::from_micros(1500)));
    for invalid in [
        "",
        "m",
        "0m",
        "-5m",
        "+5m",
        "5",
        "5s",
        "4.5m",
        "99999999999999999999m",
        "9000000m",
        "é",
    ] {
        assert_eq!(parse_timeout(invalid), None, "{invalid}");
    }
}
