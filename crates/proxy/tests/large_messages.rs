//! Messages over 64 KiB, which are streamed instead of buffered, and clients that send slowly.

mod common;
use common::*;
use std::fmt::Write as _;
use std::time::Duration;

const MEBIBYTE: usize = 1 << 20;

/// Returns a text of this many bytes in which no two parts are alike: numbers in ascending order.
fn numbered_text(length: usize) -> String {
    let mut text = String::new();
    let mut number = 0;
    while text.len() < length {
        write!(text, "{number:07x} ").expect("writing to a string cannot fail");
        number += 1;
    }
    text.truncate(length);
    text
}

/// Returns a response with this body in each framing, and whether its body ends only when the
/// connection is closed.
fn responses_of_every_framing(body: &str) -> Vec<(String, bool)> {
    let chunks: String = body
        .as_bytes()
        .chunks(60_000)
        .fold(String::new(), |all, part| {
            let part = std::str::from_utf8(part).expect("the text is ASCII");
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

/// A response must arrive complete whatever its framing (by length, in chunks or by the end of the
/// connection) and whatever its size, also right at the limit up to which bodies are buffered.
/// The process's memory must stay below the configured limit.
#[tokio::test]
async fn responses_of_every_framing_and_size_arrive_complete() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    for size in [0, 1, 64 << 10, (64 << 10) + 1, 300_000, 32 * MEBIBYTE] {
        let body = numbered_text(size);
        for (response, ends_with_close) in responses_of_every_framing(&body) {
            let mut client = proxy.connect().await;
            client.send("unsafe", "20000m").await;
            let (mut connection, _) = backend.accept_request().await;
            let writing = async {
                connection.write(&response).await;
                if ends_with_close {
                    connection.close().await;
                }
            };
            let ((), (head, received)) = tokio::join!(writing, client.read_streamed());
            assert_eq!(head.status(), 200);
            assert!(
                received.as_deref() == Some(body.as_bytes()),
                "a body of {size} bytes as {response:.80}"
            );
        }
    }
    assert!(
        proxy.peak_memory_kib() < MEMORY_MB << 10,
        "{}",
        proxy.peak_memory_kib()
    );
}

/// The first bytes of a large response must reach the client while the backend still holds back the
/// rest: a response that is buffered to its end would delay them.
#[tokio::test]
async fn large_response_is_streamed() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let (length, first_part) = (200_000, numbered_text(70_000));
    for (head, chunk) in [
        ("Content-Length: 200000", String::new()),
        ("Transfer-Encoding: chunked", "30d40\r\n".into()),
    ] {
        let mut client = proxy.connect().await;
        client.send("unsafe", "20000m").await;
        let (mut connection, _) = backend.accept_request().await;
        connection
            .write(&format!(
                "HTTP/1.1 200 OK\r\n{head}\r\n\r\n{chunk}{first_part}"
            ))
            .await;
        let mut received = Vec::new();
        while received.len() < first_part.len() {
            received.extend(
                client
                    .read_bytes(1)
                    .await
                    .expect("the part that the backend has sent so far"),
            );
        }
        connection
            .write(&"x".repeat(length - first_part.len()))
            .await;
        drop(connection);
    }
}

/// A response that fails after its beginning was forwarded must not be requested again, and the
/// client must be able to tell that it is incomplete: its connection ends before the body does.
/// Responses fail that end early, have a malformed chunk or exceed the largest size.
#[tokio::test]
async fn incomplete_large_response_closes_the_client_connection() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let body = numbered_text(200_000);
    let oversized = format!(
        "Transfer-Encoding: chunked\r\n\r\n3000000\r\n{}",
        "x".repeat(33 * MEBIBYTE)
    );
    for response in [
        format!("Content-Length: 200001\r\n\r\n{body}"),
        format!("Transfer-Encoding: chunked\r\n\r\n30d40\r\n{body}\r\n"),
        format!("Transfer-Encoding: chunked\r\n\r\n30d40\r\n{body}\r\nxyz\r\n"),
        oversized,
    ] {
        let mut client = proxy.connect().await;
        client.send("safe", "20000m").await;
        let (mut connection, _) = backend.accept_request().await;
        let writing = async {
            connection
                .write_until_closed(&format!("HTTP/1.1 200 OK\r\n{response}"))
                .await;
            drop(connection);
        };
        let ((), (head, received)) = tokio::join!(writing, client.read_streamed());
        assert_eq!((head.status(), received), (200, None), "{response:.40}");
        client.drain_until_closed().await;
        assert!(backend.receives_no_connection().await);
    }
}

/// Responses to clients that do not read them must not accumulate in memory. These clients must not
/// delay others, and get the whole response once they read.
#[tokio::test]
async fn clients_that_do_not_read_use_little_memory() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let body = numbered_text(8 * MEBIBYTE);
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut clients = Vec::new();
    let mut writing = tokio::task::JoinSet::new();
    for _ in 0..20 {
        let mut client = proxy.connect().await;
        client.send("safe", "20000m").await;
        let (mut connection, _) = backend.accept_request().await;
        let response = response.clone();
        writing.spawn(async move { connection.write(&response).await });
        clients.push(client);
    }
    let mut reading_client = proxy.connect().await;
    reading_client.send("safe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "quick").await;
    assert_eq!(
        reading_client.read().await.expect("a response").body,
        b"quick"
    );
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

/// A streamed response without progress for 10 s, because the backend sends no more or because the
/// client does not read, must be aborted: it would hold its connections forever.
#[tokio::test]
async fn stalled_transfer_is_aborted() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut waiting_client = proxy.connect().await;
    waiting_client.send("safe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection
        .write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n{}",
            numbered_text(100_000)
        ))
        .await;
    assert_eq!(
        waiting_client.read_streamed().await.1,
        None,
        "the backend sends no more"
    );
    let mut non_reading_client = proxy.connect().await;
    non_reading_client.send("safe", "20000m").await;
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

/// Returns the head of a request with a body, which follows it. `framing` holds the header lines
/// that state the body's framing. The timeout is 2 s.
fn upload_head(id: &str, class: &str, framing: &str) -> String {
    format!(
        "POST http://any.where/{class}/x?y=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: 2000m\r\n\
         X-Tenant-Id: one\r\nIdempotency-Key: k\r\n{framing}\r\n\r\n"
    )
}

/// A large body must be forwarded while it is received. The request's timeout starts only with its
/// last byte: this body takes longer than the timeout to arrive, and the request must not fail for
/// that.
#[tokio::test]
async fn large_request_body_is_streamed() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let body = numbered_text(100_000);
    let mut client = proxy.connect().await;
    client
        .write(&upload_head(
            "u1",
            "unsafe",
            "Expect: 100-continue\r\nContent-Length: 100000",
        ))
        .await;
    assert_eq!(client.read().await.expect("a 100 response").status(), 100);
    client.write(&body[..70_000]).await;
    let mut connection = backend.accept().await;
    let reading = async {
        let received = connection.read().await.expect("a request");
        connection.respond("200 OK", "", "done").await;
        received
    };
    let writing = async {
        for part in body.as_bytes()[70_000..].chunks(10_000) {
            tokio::time::sleep(Duration::from_secs(1)).await;
            client
                .write(std::str::from_utf8(part).expect("the text is ASCII"))
                .await;
        }
    };
    let (request, ()) = tokio::join!(reading, writing);
    assert_eq!(request.start_line, "POST /unsafe/x?y=1 HTTP/1.1");
    assert!(request.body == body.as_bytes());
    assert_eq!(client.read().await.expect("a response").body, b"done");
}

/// A chunked body of the largest size that is accepted, with chunk extensions and trailers, must
/// arrive complete, and must not be buffered.
#[tokio::test]
async fn chunked_body_of_the_largest_size_is_forwarded() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let body = numbered_text(32 * MEBIBYTE);
    let mut client = proxy.connect().await;
    let writing = async {
        client
            .write(&upload_head("u2", "unsafe", "Transfer-Encoding: chunked"))
            .await;
        for part in body.as_bytes().chunks(1 << 20) {
            client.write(&format!("{:x};a=b\r\n", part.len())).await;
            client
                .write(std::str::from_utf8(part).expect("the text is ASCII"))
                .await;
            client.write("\r\n").await;
        }
        client.write("0\r\nX-Trailer: 1\r\n\r\n").await;
    };
    let reading = async {
        let mut connection = backend.accept().await;
        let received = connection.read_streamed().await.1;
        connection.respond("200 OK", "", "done").await;
        received
    };
    let ((), received) = tokio::join!(writing, reading);
    assert!(received.as_deref() == Some(body.as_bytes()));
    assert_eq!(client.read().await.expect("a response").body, b"done");
    assert!(
        proxy.peak_memory_kib() < 16 << 10,
        "{}",
        proxy.peak_memory_kib()
    );
}

/// A malformed, oversized or incomplete body, which may show only while it is forwarded, must not
/// reach the backend as a complete request. A client that still reads receives a
/// response that says what is wrong.
#[tokio::test]
async fn malformed_large_body_is_not_forwarded_as_a_request() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let part = numbered_text(70_000);
    let chunk = format!("{:x}\r\n{part}\r\n", part.len());
    let oversized = format!("3000000\r\n{}", "x".repeat(33 * MEBIBYTE));
    for (number, (framing, body, expected_status)) in [
        ("Content-Length: 33554433", String::new(), 413),
        (
            "Content-Length: 100000\r\nTransfer-Encoding: chunked",
            String::new(),
            400,
        ),
        ("Transfer-Encoding: chunked", chunk.clone() + "xyz\r\n", 400),
        ("Transfer-Encoding: chunked", oversized, 413),
        ("Content-Length: 100000", part.clone(), 408),
    ]
    .into_iter()
    .enumerate()
    {
        let mut client = proxy.connect().await;
        let sending = async {
            client
                .write_until_closed(
                    &(upload_head(&format!("b{number}"), "unsafe", framing) + &body),
                )
                .await;
            client.read().await.expect("a response").status()
        };
        let receiving = async {
            let mut connection = backend.accept().await;
            connection.read_streamed().await.1
        };
        let actual_status = if body.is_empty() {
            sending.await
        } else {
            let (status, received) = tokio::join!(sending, receiving);
            assert_eq!(received, None, "{framing}");
            status
        };
        assert_eq!(actual_status, expected_status, "{framing}");
    }
    // A disconnect in the middle of the body ends the attempt.
    let mut client = proxy.connect().await;
    client
        .write(&(upload_head("gone", "unsafe", "Content-Length: 100000") + &part))
        .await;
    let mut connection = backend.accept().await;
    // Only once the attempt has started; before that nothing would be sent.
    assert!(connection.read_bytes(1).await.is_some());
    drop(client);
    assert_eq!(connection.read_streamed().await.1, None);
}

/// The connection of the client or of the backend is lost before the last byte of the body. The
/// request was not executed, but a part of its body is no longer buffered, so a retry would send an
/// incomplete body. The request's id may be used again.
#[tokio::test]
async fn incomplete_upload_is_not_retried() {
    for (client_disconnects, reset) in [(true, false), (true, true), (false, false), (false, true)]
    {
        let (first, second) = (ScriptedServer::new().await, ScriptedServer::new().await);
        let (proxy, _discovery, _watch) = serve(&[("first", &first), ("second", &second)]).await;
        let body = numbered_text(200_000);
        let head = upload_head("u9", "unsafe", "Content-Length: 200000");
        let case = format!("client disconnects: {client_disconnects}, reset: {reset}");
        let mut client = proxy.connect().await;
        client.write(&(head.clone() + &body[..199_999])).await;
        let (mut connection, other) = tokio::select! {
            connection = first.accept() => (connection, &second),
            connection = second.accept() => (connection, &first),
        };
        // More than the buffered part has been forwarded.
        let _ = connection
            .read_bytes(150_000)
            .await
            .expect("a part of the body");
        match (client_disconnects, reset) {
            (true, true) => client.reset(),
            (true, false) => drop(client),
            (false, _) => {
                if reset {
                    connection.reset();
                } else {
                    drop(connection);
                }
                let status = client.read().await.expect("a response").status();
                assert!(status >= 500, "{status} {case}");
            }
        }
        assert!(
            other.receives_no_connection().await,
            "the request was sent to another backend, {case}"
        );
        let serving = async {
            let mut connection = tokio::select! {
                connection = first.accept() => connection,
                connection = second.accept() => connection,
            };
            let request = connection.read().await.expect("a request");
            connection.respond("200 OK", "", "done").await;
            request.body.len()
        };
        let resending = async {
            let mut second_client = proxy.connect().await;
            second_client.write_until_closed(&(head + &body)).await;
            second_client.read().await.expect("a response").status()
        };
        assert_eq!(tokio::join!(serving, resending), (200_000, 200), "{case}");
    }
}

/// A backend rejects a large request before it has received all of it. As long as it has read no
/// more than the part that is buffered, the request must be retried, with its whole body.
#[tokio::test]
async fn large_request_rejected_early_is_retried_complete() {
    let (first, second) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, _discovery, _watch) = serve(&[("first", &first), ("second", &second)]).await;
    let body = numbered_text(100_000);
    let mut client = proxy.connect().await;
    client
        .write(&(upload_head("u3", "unsafe", "Content-Length: 100000") + &body[..70_000]))
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
    assert_eq!(client.read().await.expect("a response").body, b"done");
}

/// A backend rejects a request whose client is still sending the body. Closing the client's
/// connection with unread bytes would reset it, and the client would lose the response.
#[tokio::test]
async fn early_response_reaches_a_client_that_is_still_writing() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let body = numbered_text(4 * MEBIBYTE);
    let mut client = proxy.connect().await;
    client
        .write(
            &(upload_head("u4", "unsafe", &format!("Content-Length: {}", body.len()))
                + &body[..70_000]),
        )
        .await;
    let mut connection = backend.accept().await;
    connection
        .respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
        .await;
    client.write(&body[70_000..]).await;
    let response = client.read().await.expect("a response");
    assert_eq!(
        (response.status(), response.header("connection")),
        (503, Some("close"))
    );
    client.expect_closed().await;
}

/// A client that takes 2 s for a head and sends a body at 64 kB per second is slow, but must not be
/// taken for one that stalls.
#[tokio::test]
async fn slow_clients_are_served() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let (head, body) = (
        upload_head("slow", "unsafe", "Content-Length: 64000"),
        numbered_text(64_000),
    );
    let mut client = proxy.connect().await;
    let writing = async {
        for part in head.as_bytes().chunks(head.len() / 20 + 1) {
            client
                .write(std::str::from_utf8(part).expect("the text is ASCII"))
                .await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        for part in body.as_bytes().chunks(6400) {
            client
                .write(std::str::from_utf8(part).expect("the text is ASCII"))
                .await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let answering = async {
        let (mut connection, request) = backend.accept_request().await;
        assert!(request.body == body.as_bytes());
        connection.respond("200 OK", "", "done").await;
    };
    tokio::join!(writing, answering);
    assert_eq!(client.read().await.expect("a response").body, b"done");
}

/// A large response that takes longer than any deadline must not be cut off when the process
/// receives SIGTERM.
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
    let body = numbered_text(300_000);
    let (first_part, rest) = body.split_at(100_000);
    connection
        .write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{first_part}",
            body.len()
        ))
        .await;
    proxy.signal("TERM").await;
    proxy.wait_for_log("shutting down").await;
    // Past the time in which connections are accepted, the deadline and the time for last writes.
    // On a slower machine the test may detect less, but does not fail.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let ((), (_, received)) = tokio::join!(connection.write(rest), client.read_streamed());
    assert!(received.as_deref() == Some(body.as_bytes()));
    assert!(proxy.wait_for_exit().await.success());
}
