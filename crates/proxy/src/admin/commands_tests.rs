use super::*;

#[test]
fn methods_and_paths_are_parsed_as_commands() {
    for (method, path, command) in [
        ("GET", "/healthcheck", AdminCommand::CheckHealth),
        ("POST", "/healthcheck/fail", AdminCommand::StartDrain),
        ("POST", "/healthcheck/ok", AdminCommand::EndDrain),
        (
            "POST",
            "/backends/a/maint",
            AdminCommand::StartMaintenance("a"),
        ),
        (
            "POST",
            "/backends/a/b/ready",
            AdminCommand::EndMaintenance("a/b"),
        ),
        (
            "POST",
            "/backends//maint",
            AdminCommand::StartMaintenance(""),
        ),
    ] {
        assert_eq!(
            AdminCommand::parse(method, path),
            Ok(command),
            "{method} {path}"
        );
    }
}

#[test]
fn other_methods_and_paths_are_rejected() {
    for (method, path, reply) in [
        ("POST", "/healthcheck", AdminReply::MethodNotAllowed),
        ("GET", "/backends/a/ready", AdminReply::MethodNotAllowed),
        ("get", "/healthcheck", AdminReply::MethodNotAllowed),
        ("POST", "/backends/maint", AdminReply::UnknownCommand),
        ("POST", "/backends/a/reboot", AdminReply::UnknownCommand),
        ("GET", "healthcheck", AdminReply::UnknownCommand),
    ] {
        assert_eq!(
            AdminCommand::parse(method, path),
            Err(reply),
            "{method} {path}"
        );
    }
}

#[test]
fn every_405_response_has_an_allow_header() {
    for reply in [
        AdminReply::MethodNotAllowed,
        AdminReply::MalformedRequest(MessageError::UnsupportedMethod),
    ] {
        let response = reply.to_http();
        assert!(response.starts_with("HTTP/1.1 405 "), "{response}");
        assert!(response.contains("\r\nAllow: GET, POST\r\n"), "{response}");
    }
    let unknown = AdminReply::UnknownCommand.to_http();
    assert!(!unknown.contains("Allow"), "{unknown}");
}
