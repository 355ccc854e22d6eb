//! Requests with bodies over 64 KiB, which are streamed instead of buffered, and clients that send
//! slowly.

mod common;
use common::*;
use std::time::Duration;

const MEBIBYTE: usize = 1 << 20;

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
        let (mut connection, other) = accept_at_either(&first, &second).await;
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
            let mut connection = accept_at_either(&first, &second).await.0;
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

/// The log must tell whether an attempt that was lost had the whole body of its request, which decides
/// where the request may be sent again.
#[tokio::test]
async fn lost_attempt_is_logged_with_the_progress_of_its_upload() {
    let backend = ScriptedServer::new().await;
    let (mut proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    let head = upload_head("u5", "unsafe", "Content-Length: 200000");
    client.write(&(head + &numbered_text(199_999))).await;
    let mut connection = backend.accept().await;
    // More than the buffered part has been forwarded.
    assert!(connection.read_bytes(150_000).await.is_some());
    connection.reset();
    let line = proxy.wait_for_log("exchange_failed id=u5 ").await;
    assert!(
        line.contains(" outcome=ConnectFailed ")
            && line.contains(" upload=receiving:")
            && line.contains("/200000 "),
        "{line}"
    );
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
    let (mut connection, other) = accept_at_either(&first, &second).await;
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
