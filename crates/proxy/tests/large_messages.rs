//! Messages over 64 KiB, which are streamed, and clients that are slow with theirs.

mod common;
use common::*;
use std::fmt::Write as _;
use std::time::Duration;

const MEBIBYTE: usize = 1 << 20;

/// Text of this length in which no two parts are alike.
fn text(length: usize) -> String {
    let mut text = String::new();
    let mut number = 0;
    while text.len() < length {
        write!(text, "{number:07x} ").expect("a string takes all");
        number += 1;
    }
    text.truncate(length);
    text
}

/// A response in each framing, with its body, and whether its end can be told.
fn framings(body: &str) -> Vec<(String, bool)> {
    let chunks: String = body
        .as_bytes()
        .chunks(60_000)
        .fold(String::new(), |all, part| {
            let part = std::str::from_utf8(part).expect("text");
            all + &format!("{:x};name=\"value\"\r\n{part}\r\n", part.len())
        });
    vec![
        (format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()), false),
        (
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\nX-Trailer: 1\r\n\r\n"),
            false,
        ),
        (format!("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n{body}"), true),
        (format!("HTTP/1.0 200 OK\r\n\r\n{body}"), true),
    ]
}

#[tokio::test]
async fn responses_of_every_framing_and_size_arrive_complete() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    for size in [0, 1, 64 << 10, (64 << 10) + 1, 300_000, 32 * MEBIBYTE] {
        let body = text(size);
        for (answer, ends) in framings(&body) {
            let mut client = proxy.connect().await;
            client.send("unsafe", "20000m").await;
            let (mut connection, _) = backend.accept_request().await;
            let writing = async {
                connection.write(&answer).await;
                if ends {
                    connection.close().await;
                }
            };
            let ((), (head, read)) = tokio::join!(writing, client.read_streamed());
            assert_eq!(head.status(), 200);
            assert!(
                read.as_deref() == Some(body.as_bytes()),
                "{size} as {answer:.80}"
            );
        }
    }
    assert!(
        proxy.peak_memory_kib() < MEMORY_MB << 10,
        "{}",
        proxy.peak_memory_kib()
    );
}

/// The first bytes do not wait for the last ones.
#[tokio::test]
async fn large_response_is_streamed() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let (length, first) = (200_000, text(70_000));
    for (head, chunk) in [
        ("Content-Length: 200000", String::new()),
        ("Transfer-Encoding: chunked", "30d40\r\n".into()),
    ] {
        let mut client = proxy.connect().await;
        client.send("unsafe", "20000m").await;
        let (mut connection, _) = backend.accept_request().await;
        connection
            .write(&format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{chunk}{first}"))
            .await;
        let mut read = Vec::new();
        while read.len() < first.len() {
            read.extend(client.read_bytes(1).await.expect("what has come so far"));
        }
        connection.write(&"x".repeat(length - first.len())).await;
        drop(connection);
    }
}

/// It is not requested again, and the client can tell that it is incomplete.
#[tokio::test]
async fn large_response_that_breaks_off_ends_the_client_connection() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let body = text(200_000);
    let over = format!(
        "Transfer-Encoding: chunked\r\n\r\n3000000\r\n{}",
        "x".repeat(33 * MEBIBYTE)
    );
    for answer in [
        format!("Content-Length: 200001\r\n\r\n{body}"),
        format!("Transfer-Encoding: chunked\r\n\r\n30d40\r\n{body}\r\n"),
        format!("Transfer-Encoding: chunked\r\n\r\n30d40\r\n{body}\r\nxyz\r\n"),
        over,
    ] {
        let mut client = proxy.connect().await;
        client.send("safe", "20000m").await;
        let (mut connection, _) = backend.accept_request().await;
        let writing = async {
            connection
                .write_until_closed(&format!("HTTP/1.1 200 OK\r\n{answer}"))
                .await;
            drop(connection);
        };
        let ((), (head, read)) = tokio::join!(writing, client.read_streamed());
        assert_eq!((head.status(), read), (200, None), "{answer:.40}");
        client.drain_until_closed().await;
        assert!(backend.is_untouched().await);
    }
}

/// They delay nobody, and get the whole response once they read.
#[tokio::test]
async fn clients_that_do_not_read_use_little_memory() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let body = text(8 * MEBIBYTE);
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut clients = Vec::new();
    let mut writing = tokio::task::JoinSet::new();
    for _ in 0..20 {
        let mut client = proxy.connect().await;
        client.send("safe", "20000m").await;
        let (mut connection, _) = backend.accept_request().await;
        let answer = answer.clone();
        writing.spawn(async move { connection.write(&answer).await });
        clients.push(client);
    }
    let mut quick = proxy.connect().await;
    quick.send("safe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "quick").await;
    assert_eq!(quick.read().await.expect("an answer").body, b"quick");
    for client in &mut clients {
        assert!(client.read_streamed().await.1.as_deref() == Some(body.as_bytes()));
    }
    while writing.join_next().await.is_some() {}
    assert!(
        proxy.peak_memory_kib() < 32 << 10,
        "{}",
        proxy.peak_memory_kib()
    );
}

/// After 10 s without progress, on either side.
#[tokio::test]
async fn stalled_transfer_is_ended() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut silent = proxy.connect().await;
    silent.send("safe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection
        .write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n{}",
            text(100_000)
        ))
        .await;
    assert_eq!(
        silent.read_streamed().await.1,
        None,
        "the server says no more"
    );
    let mut deaf = proxy.connect().await;
    deaf.send("safe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    let body = "x".repeat(32 * MEBIBYTE);
    connection
        .write_until_closed(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ))
        .await;
    connection.drain_until_closed().await;
}

fn upload(id: &str, class: &str, framing: &str) -> String {
    format!(
        "POST http://any.where/{class}/x?y=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: 2000m\r\n\
         X-Tenant-Id: one\r\nIdempotency-Key: k\r\n{framing}\r\n\r\n"
    )
}

/// The request's time runs from its last byte; this body takes longer than that to arrive.
#[tokio::test]
async fn large_request_body_is_streamed() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let body = text(100_000);
    let mut client = proxy.connect().await;
    client
        .write(&upload(
            "u1",
            "unsafe",
            "Expect: 100-continue\r\nContent-Length: 100000",
        ))
        .await;
    assert_eq!(client.read().await.expect("a word to go on").status(), 100);
    client.write(&body[..70_000]).await;
    let mut connection = backend.accept().await;
    let reading = async {
        let read = connection.read().await.expect("a request");
        connection.respond("200 OK", "", "done").await;
        read
    };
    let writing = async {
        for part in body.as_bytes()[70_000..].chunks(10_000) {
            tokio::time::sleep(Duration::from_secs(1)).await;
            client.write(std::str::from_utf8(part).expect("text")).await;
        }
    };
    let (request, ()) = tokio::join!(reading, writing);
    assert_eq!(request.start, "POST /unsafe/x?y=1 HTTP/1.1");
    assert!(request.body == body.as_bytes());
    assert_eq!(client.read().await.expect("an answer").body, b"done");
}

#[tokio::test]
async fn chunked_body_of_the_largest_size_is_forwarded() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let body = text(32 * MEBIBYTE);
    let mut client = proxy.connect().await;
    let writing = async {
        client
            .write(&upload("u2", "unsafe", "Transfer-Encoding: chunked"))
            .await;
        for part in body.as_bytes().chunks(1 << 20) {
            client.write(&format!("{:x};a=b\r\n", part.len())).await;
            client.write(std::str::from_utf8(part).expect("text")).await;
            client.write("\r\n").await;
        }
        client.write("0\r\nX-Trailer: 1\r\n\r\n").await;
    };
    let reading = async {
        let mut connection = backend.accept().await;
        let read = connection.read_streamed().await.1;
        connection.respond("200 OK", "", "done").await;
        read
    };
    let ((), read) = tokio::join!(writing, reading);
    assert!(read.as_deref() == Some(body.as_bytes()));
    assert_eq!(client.read().await.expect("an answer").body, b"done");
    assert!(
        proxy.peak_memory_kib() < 16 << 10,
        "{}",
        proxy.peak_memory_kib()
    );
}

/// The client is told what is wrong if it still listens.
#[tokio::test]
async fn malformed_large_body_is_not_forwarded_as_a_request() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let part = text(70_000);
    let chunk = format!("{:x}\r\n{part}\r\n", part.len());
    let over = format!("3000000\r\n{}", "x".repeat(33 * MEBIBYTE));
    for (n, (framing, body, status)) in [
        ("Content-Length: 33554433", String::new(), 413),
        (
            "Content-Length: 100000\r\nTransfer-Encoding: chunked",
            String::new(),
            400,
        ),
        ("Transfer-Encoding: chunked", chunk.clone() + "xyz\r\n", 400),
        ("Transfer-Encoding: chunked", over, 413),
        ("Content-Length: 100000", part.clone(), 408),
    ]
    .into_iter()
    .enumerate()
    {
        let mut client = proxy.connect().await;
        let sending = async {
            client
                .write_until_closed(&(upload(&format!("b{n}"), "unsafe", framing) + &body))
                .await;
            client.read().await.expect("an answer").status()
        };
        let taking = async {
            let mut connection = backend.accept().await;
            connection.read_streamed().await.1
        };
        let answered = if body.is_empty() {
            sending.await
        } else {
            let (status, taken) = tokio::join!(sending, taking);
            assert_eq!(taken, None, "{framing}");
            status
        };
        assert_eq!(answered, status, "{framing}");
    }
    // A disconnect in the middle of the body ends the attempt.
    let mut client = proxy.connect().await;
    client
        .write(&(upload("gone", "unsafe", "Content-Length: 100000") + &part))
        .await;
    let mut connection = backend.accept().await;
    // Only once the attempt has started; before that nothing would be sent.
    assert!(connection.read_bytes(1).await.is_some());
    drop(client);
    assert_eq!(connection.read_streamed().await.1, None);
}

/// The request was not executed, but a part of its body is no longer buffered. Its id may be used
/// again.
#[tokio::test]
async fn incomplete_upload_is_not_retried() {
    for (by_client, reset) in [(true, false), (true, true), (false, false), (false, true)] {
        let (first, second) = (ScriptedServer::new().await, ScriptedServer::new().await);
        let (proxy, _discovery, _watch) = serve(&[("first", &first), ("second", &second)]).await;
        let body = text(200_000);
        let head = upload("u9", "unsafe", "Content-Length: 200000");
        let case = format!("by the client {by_client}, reset {reset}");
        let mut client = proxy.connect().await;
        client.write(&(head.clone() + &body[..199_999])).await;
        let (mut connection, other) = tokio::select! {
            connection = first.accept() => (connection, &second),
            connection = second.accept() => (connection, &first),
        };
        // More than is buffered has been forwarded.
        let _ = connection.read_bytes(150_000).await.expect("a part");
        match (by_client, reset) {
            (true, true) => client.reset(),
            (true, false) => drop(client),
            (false, _) => {
                if reset {
                    connection.reset();
                } else {
                    drop(connection);
                }
                let status = client.read().await.expect("an answer").status();
                assert!(status >= 500, "{status} {case}");
            }
        }
        assert!(other.is_untouched().await, "sent elsewhere: {case}");
        let serving = async {
            let mut connection = tokio::select! {
                connection = first.accept() => connection,
                connection = second.accept() => connection,
            };
            let request = connection.read().await.expect("a request");
            connection.respond("200 OK", "", "done").await;
            request.body.len()
        };
        let asking = async {
            let mut again = proxy.connect().await;
            again.write_until_closed(&(head + &body)).await;
            again.read().await.expect("an answer").status()
        };
        assert_eq!(tokio::join!(serving, asking), (200_000, 200), "{case}");
    }
}

/// As long as the backend has read no more than is buffered.
#[tokio::test]
async fn large_request_rejected_early_is_retried_complete() {
    let (first, second) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, _discovery, _watch) = serve(&[("first", &first), ("second", &second)]).await;
    let body = text(100_000);
    let mut client = proxy.connect().await;
    client
        .write(&(upload("u3", "unsafe", "Content-Length: 100000") + &body[..70_000]))
        .await;
    let (mut connection, other) = tokio::select! {
        connection = first.accept() => (connection, &second),
        connection = second.accept() => (connection, &first),
    };
    connection
        .respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
        .await;
    let mut connection = other.accept().await;
    client.write(&body[70_000..]).await;
    assert!(connection.read().await.expect("a request").body == body.as_bytes());
    connection.respond("200 OK", "", "done").await;
    assert_eq!(client.read().await.expect("an answer").body, b"done");
}

#[tokio::test]
async fn early_response_reaches_a_client_that_is_still_writing() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let body = text(4 * MEBIBYTE);
    let mut client = proxy.connect().await;
    client
        .write(
            &(upload("u4", "unsafe", &format!("Content-Length: {}", body.len())) + &body[..70_000]),
        )
        .await;
    let mut connection = backend.accept().await;
    connection
        .respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
        .await;
    client.write(&body[70_000..]).await;
    let answer = client.read().await.expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (503, Some("close"))
    );
    client.expect_closed().await;
}

/// 2 s for a head, and a body at 64 kB per second.
#[tokio::test]
async fn slow_clients_are_served() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let (head, body) = (
        upload("slow", "unsafe", "Content-Length: 64000"),
        text(64_000),
    );
    let mut client = proxy.connect().await;
    let writing = async {
        for part in head.as_bytes().chunks(head.len() / 20 + 1) {
            client.write(std::str::from_utf8(part).expect("text")).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        for part in body.as_bytes().chunks(6400) {
            client.write(std::str::from_utf8(part).expect("text")).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let answering = async {
        let (mut connection, request) = backend.accept_request().await;
        assert!(request.body == body.as_bytes());
        connection.respond("200 OK", "", "done").await;
    };
    tokio::join!(writing, answering);
    assert_eq!(client.read().await.expect("an answer").body, b"done");
}

/// It takes longer than any deadline.
#[tokio::test]
async fn large_response_is_finished_after_sigterm() {
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let mut settings = settings();
    for class in 0..3 {
        settings["profiles"][class]["deadline_ns"] = serde_json::json!(200_000_000);
    }
    let (mut proxy, _watch) = ProxyBuilder::new(discovery.address())
        .settings(settings)
        .start_ready(&discovery, &[endpoint("s", backend.address(), "active")])
        .await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    let body = text(300_000);
    let (begun, rest) = body.split_at(100_000);
    connection
        .write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{begun}",
            body.len()
        ))
        .await;
    proxy.signal("TERM").await;
    proxy.wait_for_log("shutting down").await;
    // Past the deadline and all allowances; on a slower machine the test only sees less.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let ((), (_, read)) = tokio::join!(connection.write(rest), client.read_streamed());
    assert!(read.as_deref() == Some(body.as_bytes()));
    assert!(proxy.wait_for_exit().await.success());
}
