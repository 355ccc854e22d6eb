//! Integration tests of configurations that cannot be used, and of a log whose reader has closed
//! it.

mod common;
use common::*;
use serde_json::json;

#[tokio::test]
async fn invalid_configuration_is_reported_in_one_line() {
    let valid = json!({
        "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f", "settings": settings(),
    });
    let mut cases = vec!["{".to_owned(), "[]".to_owned()];
    for (key, value) in [
        ("listen", json!("here")),
        ("listen", json!(null)),
        ("discovery", json!(7)),
        ("seed", json!("xyz")),
        ("settings", json!({})),
        ("limits", json!({"sockets": 3})),
        ("known", json!([])),
    ] {
        let mut invalid = valid.clone();
        invalid[key] = value;
        cases.push(invalid.to_string());
    }
    let mut invalid = valid.clone();
    invalid["settings"]["zone"] = json!(9);
    cases.push(invalid.to_string());
    for case in cases {
        let output = run_to_exit(&case, &[]).await;
        let message = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success(), "{case}");
        assert_eq!(message.lines().count(), 1, "{case}: {message}");
    }
}

/// The reader of the log closes it, so that every write to it fails from then on. The process must
/// go on serving.
#[tokio::test]
async fn closed_log_does_not_end_the_process() {
    let backend = ScriptedServer::new().await;
    let (mut proxy, discovery, mut watch) = serve(&[("s", &backend)]).await;
    proxy.close_log();
    for _ in 0..2 {
        // The invalid line is logged, and the watch is opened again after that.
        watch.send_line("not json").await;
        (watch, _) = discovery.accept_watch().await;
    }
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
}
