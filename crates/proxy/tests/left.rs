//! Clients that leave while their request waits: it isn't sent on.

mod common;
use common::*;

const CLASSES: [&str; 3] = ["safe", "keyed", "unsafe"];
const NOT_RUN: &str = "X-Not-Processed: 1\r\n";

/// What may stand between a request and the end of its connection.
fn behind() -> [String; 5] {
    let head = "GET /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: behind\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n\r\n";
    let (part, junk) = (head[..20].to_owned(), "no request\r\n\r\n".to_owned());
    [
        String::new(),
        head.to_owned(),
        part,
        junk,
        "much ".repeat(20_000),
    ]
}

/// The same, short enough for the system to take in with the close while the node takes nothing.
fn behind_that_fit() -> [String; 5] {
    behind().map(|bytes| bytes.chars().take(24_000).collect())
}

/// A connection to a server that comes up after the client has left carries nothing, and the
/// request is over: its name may be used again.
#[tokio::test]
async fn a_connection_that_comes_up_late_carries_nothing_for_a_client_that_left() {
    for class in CLASSES {
        let (listener, address, filling) = full_listener().await;
        let discovery = Peer::new().await;
        let mut node = Node::with(&discovery, settings(), 1024).await;
        let (mut watch, _) = discovery.watch().await;
        watch.list(1, true, &[member("s", address, "active")]).await;
        node.ready().await;
        let mut client = node.client().await;
        client.send_as("left", class, "20000m").await;
        node.get("/health/live").await; // The request has been read, and its connection is under way.
        client.close().await;
        for _ in 0..filling.len() {
            within("a connection", listener.accept())
                .await
                .expect("a connection");
        }
        let sent = async {
            loop {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let mut byte = [0];
                if tokio::io::AsyncReadExt::read(&mut stream, &mut byte)
                    .await
                    .is_ok_and(|n| n > 0)
                {
                    return;
                }
            }
        };
        tokio::select! {
            () = sent => panic!("{class} was sent on"),
            line = node.logged("stats ") => assert!(line.contains(" client_disconnected=1 ") && line.contains(" in_flight=0 "), "{line}"),
        }
        let mut client = node.client().await;
        client.send_as("left", class, "20000m").await;
        let (mut stream, _) = within("the node's connection", listener.accept())
            .await
            .expect("a connection");
        let mut byte = [0];
        within(
            "a request",
            tokio::io::AsyncReadExt::read_exact(&mut stream, &mut byte),
        )
        .await
        .expect("a byte");
    }
}

/// A request that would be repeated isn't, once its client has left: by a close, by a reset, and
/// also where more bytes stand before the close.
#[tokio::test]
async fn nothing_is_repeated_for_a_client_that_closed_behind_further_bytes() {
    for (class, chunked) in [
        ("safe", false),
        ("keyed", false),
        ("unsafe", false),
        ("unsafe", true),
    ] {
        for bytes in behind() {
            // A node of its own: what is turned away makes a node refuse more.
            let (one, two) = (Peer::new().await, Peer::new().await);
            let (node, _discovery, _watch) = Node::serving(&[("one", &one), ("two", &two)]).await;
            let mut client = node.client().await;
            if chunked {
                client.chunked(&format!("c{}", bytes.len())).await;
            } else {
                client.send(class, "60000m").await;
            }
            let ((mut wire, _), other) = tokio::select! {
                got = one.request() => (got, &two),
                got = two.request() => (got, &one),
            };
            client.write_what_is_taken(&bytes).await;
            client.leave().await;
            wire.answer(
                "503 Service Unavailable",
                &format!("{NOT_RUN}Connection: close\r\n"),
                "",
            )
            .await;
            assert!(
                other.untouched().await,
                "{class} was sent again, {} bytes before the close",
                bytes.len()
            );
        }
    }
}

/// While the node was busy a request came, and its client left. Both are read in one turn.
#[tokio::test]
async fn a_request_read_together_with_its_clients_leaving_is_not_sent() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut first = node.client().await;
    first.send("safe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(first.read().await.expect("an answer").status(), 200);
    tokio::time::sleep(std::time::Duration::from_millis(50)).await; // The connection is ready for the next.
    for class in CLASSES {
        for bytes in &behind()[..3] {
            for body in [0, 100, 60_000] {
                for reset in [false, true] {
                    let mut client = node.client().await;
                    node.signal("STOP").await;
                    match body {
                        0 => client.send_as("left", class, "20000m").await,
                        _ => client.with_body("left", &"x".repeat(body)).await,
                    }
                    client.write(bytes).await;
                    if reset {
                        client.reset()
                    } else {
                        drop(client)
                    }
                    node.signal("CONT").await;
                    let mut fence = node.client().await;
                    fence.send_as("fence", "safe", "20000m").await;
                    let request = wire.read().await.expect("a request");
                    let told = format!(
                        "{class}, body {body}, {} bytes behind, reset {reset}",
                        bytes.len()
                    );
                    assert_eq!(request.header("x-request-id"), Some("fence"), "{told}");
                    wire.answer("200 OK", "", "").await;
                    assert_eq!(
                        fence.read().await.expect("an answer").status(),
                        200,
                        "{told}"
                    );
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                    // As above.
                }
            }
        }
    }
}

/// A server turns a request away in the very moment in which its client leaves: the node reads both
/// in one turn, and what stands before the close may be more than it takes in.
#[tokio::test]
async fn nothing_is_repeated_for_a_client_that_leaves_as_its_attempt_ends() {
    for (class, body) in [("safe", 0), ("keyed", 0), ("unsafe", 0), ("unsafe", 60_000)] {
        for bytes in behind_that_fit() {
            for reset in [false, true] {
                let (one, two) = (Peer::new().await, Peer::new().await);
                let (node, _discovery, _watch) =
                    Node::serving(&[("one", &one), ("two", &two)]).await;
                let mut client = node.client().await;
                match body {
                    0 => client.send(class, "60000m").await,
                    _ => {
                        client
                            .with_body(&format!("b{}", bytes.len()), &"x".repeat(body))
                            .await;
                    }
                }
                let ((mut wire, _), other) = tokio::select! {
                    got = one.request() => (got, &two),
                    got = two.request() => (got, &one),
                };
                node.signal("STOP").await;
                wire.answer(
                    "503 Service Unavailable",
                    &format!("{NOT_RUN}Connection: close\r\n"),
                    "",
                )
                .await;
                client.write(&bytes).await;
                if reset {
                    client.reset()
                } else {
                    drop(client)
                }
                node.signal("CONT").await;
                let told = format!(
                    "{class}, body {body}, {} bytes behind, reset {reset}",
                    bytes.len()
                );
                assert!(other.untouched().await, "sent again: {told}");
            }
        }
    }
}

/// A client may send more than the system takes in for the node, and go: its close comes behind all
/// that.
#[tokio::test]
async fn a_client_that_sends_without_end_and_goes_is_noticed() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "60000m").await;
    let (_wire, _) = server.request().await;
    client.write_what_is_taken(&"much ".repeat(2_000_000)).await;
    drop(client);
    while !within("the leaving to be counted", node.logged("stats "))
        .await
        .contains(" client_disconnected=1 ")
    {}
}
