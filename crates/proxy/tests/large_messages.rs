//! Messages over 64 KiB, which are streamed, and clients that are slow with theirs.

mod common;
use common::*;
use std::time::Duration;

const MEBIBYTE: usize = 1 << 20;

/// Text of so many bytes in which no two parts are alike.
fn text(length: usize) -> String {
    let mut text: String = (0..=(length / 8)).map(|n| format!("{n:07x} ")).collect();
    text.truncate(length);
    text
}

/// An answer in each form, with its body.
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
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &server)]).await;
    for size in [0, 1, 64 << 10, (64 << 10) + 1, 300_000, 32 * MEBIBYTE] {
        let body = text(size);
        for (answer, ends) in framings(&body) {
            let mut client = proxy.connect().await;
            client.send("unsafe", "20000m").await;
            let (mut wire, _) = server.accept_request().await;
            let writing = async {
                wire.write(&answer).await;
                if ends {
                    wire.close().await;
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

/// The first bytes of a large answer don't wait for the last ones.
#[tokio::test]
async fn large_response_is_streamed() {
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &server)]).await;
    let (length, first) = (200_000, text(70_000));
    for (head, chunk) in [
        ("Content-Length: 200000", String::new()),
        ("Transfer-Encoding: chunked", "30d40\r\n".into()),
    ] {
        let mut client = proxy.connect().await;
        client.send("unsafe", "20000m").await;
        let (mut wire, _) = server.accept_request().await;
        wire.write(&format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{chunk}{first}"))
            .await;
        let mut read = Vec::new();
        while read.len() < first.len() {
            read.extend(client.read_bytes(1).await.expect("what has come so far"));
        }
        wire.write(&"x".repeat(length - first.len())).await;
        drop(wire);
    }
}

/// What breaks once bytes were passed on is not asked for again, and the client can tell.
#[tokio::test]
async fn large_response_that_breaks_off_ends_the_client_connection() {
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &server)]).await;
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
        let (mut wire, _) = server.accept_request().await;
        let writing = async {
            wire.write_until_closed(&format!("HTTP/1.1 200 OK\r\n{answer}"))
                .await;
            drop(wire);
        };
        let ((), (head, read)) = tokio::join!(writing, client.read_streamed());
        assert_eq!((head.status(), read), (200, None), "{answer:.40}");
        client.drain_until_closed().await;
        assert!(server.is_untouched().await);
    }
}

/// A client that reads nothing holds bounded memory, holds nobody up, and has its answer whole once
/// it reads.
#[tokio::test]
async fn clients_that_do_not_read_use_little_memory() {
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &server)]).await;
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
        let (mut wire, _) = server.accept_request().await;
        let answer = answer.clone();
        writing.spawn(async move { wire.write(&answer).await });
        clients.push(client);
    }
    let mut quick = proxy.connect().await;
    quick.send("safe", "20000m").await;
    let (mut wire, _) = server.accept_request().await;
    wire.respond("200 OK", "", "quick").await;
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

/// Who takes nothing for 10 s is not waited for, on either side.
#[tokio::test]
async fn stalled_transfer_is_ended() {
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &server)]).await;
    let mut silent = proxy.connect().await;
    silent.send("safe", "20000m").await;
    let (mut wire, _) = server.accept_request().await;
    wire.write(&format!(
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
    let (mut wire, _) = server.accept_request().await;
    let body = "x".repeat(32 * MEBIBYTE);
    wire.write_until_closed(&format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
    .await;
    wire.drain_until_closed().await;
}

fn upload(id: &str, class: &str, framing: &str) -> String {
    format!(
        "POST http://any.where/{class}/x?y=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: 2000m\r\n\
         X-Tenant-Id: one\r\nIdempotency-Key: k\r\n{framing}\r\n\r\n"
    )
}

/// A large body goes on as it comes. The request's time runs from its last byte: this one takes
/// longer to come.
#[tokio::test]
async fn large_request_body_is_streamed() {
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &server)]).await;
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
    let mut wire = server.accept().await;
    let reading = async {
        let read = wire.read().await.expect("a request");
        wire.respond("200 OK", "", "done").await;
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
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &server)]).await;
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
        let mut wire = server.accept().await;
        let read = wire.read_streamed().await.1;
        wire.respond("200 OK", "", "done").await;
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

/// What is not whole reaches no server as a request, and the client hears what is wrong if it is
/// there to hear it.
#[tokio::test]
async fn malformed_large_body_is_not_forwarded_as_a_request() {
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &server)]).await;
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
            let mut wire = server.accept().await;
            wire.read_streamed().await.1
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
    // One that leaves in the middle takes its attempt along.
    let mut client = proxy.connect().await;
    client
        .write(&(upload("gone", "unsafe", "Content-Length: 100000") + &part))
        .await;
    let mut wire = server.accept().await;
    // Once its attempt is under way: before that nothing would be sent for a client that has left.
    assert!(wire.read_bytes(1).await.is_some());
    drop(client);
    assert_eq!(wire.read_streamed().await.1, None);
}

/// An unsafe request whose body breaks off before its last byte has not run, and goes nowhere else:
/// its client has left, or its server has, with a part that is not held any more. Its name is free
/// again.
#[tokio::test]
async fn incomplete_upload_is_not_retried() {
    for (by_client, reset) in [(true, false), (true, true), (false, false), (false, true)] {
        let (first, second) = (ScriptedServer::new().await, ScriptedServer::new().await);
        let (proxy, _discovery, _watch) = serve(&[("first", &first), ("second", &second)]).await;
        let body = text(200_000);
        let head = upload("u9", "unsafe", "Content-Length: 200000");
        let told = format!("by the client {by_client}, reset {reset}");
        let mut client = proxy.connect().await;
        client.write(&(head.clone() + &body[..199_999])).await;
        let (mut wire, other) = tokio::select! {
            wire = first.accept() => (wire, &second),
            wire = second.accept() => (wire, &first),
        };
        // More than is held has gone on.
        let _ = wire.read_bytes(150_000).await.expect("a part");
        match (by_client, reset) {
            (true, true) => client.reset(),
            (true, false) => drop(client),
            (false, _) => {
                if reset {
                    wire.reset();
                } else {
                    wire.close_now();
                }
                let status = client.read().await.expect("an answer").status();
                assert!(status >= 500, "{status} {told}");
            }
        }
        assert!(other.is_untouched().await, "sent elsewhere: {told}");
        let serving = async {
            let mut wire = tokio::select! {
                wire = first.accept() => wire,
                wire = second.accept() => wire,
            };
            let request = wire.read().await.expect("a request");
            wire.respond("200 OK", "", "done").await;
            request.body.len()
        };
        let asking = async {
            let mut again = proxy.connect().await;
            again.write_until_closed(&(head + &body)).await;
            again.read().await.expect("an answer").status()
        };
        assert_eq!(tokio::join!(serving, asking), (200_000, 200), "{told}");
    }
}

/// Until more of it is taken than is held, a large request can go to another server.
#[tokio::test]
async fn large_request_rejected_early_is_retried_complete() {
    let (first, second) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, _discovery, _watch) = serve(&[("first", &first), ("second", &second)]).await;
    let body = text(100_000);
    let mut client = proxy.connect().await;
    client
        .write(&(upload("u3", "unsafe", "Content-Length: 100000") + &body[..70_000]))
        .await;
    let (mut wire, other) = tokio::select! {
        wire = first.accept() => (wire, &second),
        wire = second.accept() => (wire, &first),
    };
    wire.respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
        .await;
    let mut wire = other.accept().await;
    client.write(&body[70_000..]).await;
    assert!(wire.read().await.expect("a request").body == body.as_bytes());
    wire.respond("200 OK", "", "done").await;
    assert_eq!(client.read().await.expect("an answer").body, b"done");
}

/// A request that is given up gets its answer at once, also where its client is still writing.
#[tokio::test]
async fn early_response_reaches_a_client_that_is_still_writing() {
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &server)]).await;
    let body = text(4 * MEBIBYTE);
    let mut client = proxy.connect().await;
    client
        .write(
            &(upload("u4", "unsafe", &format!("Content-Length: {}", body.len())) + &body[..70_000]),
        )
        .await;
    let mut wire = server.accept().await;
    wire.respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
        .await;
    client.write(&body[70_000..]).await;
    let answer = client.read().await.expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (503, Some("close"))
    );
    client.expect_closed().await;
}

/// A proper client may take 2 s for a head and send its body at 64 kB a second.
#[tokio::test]
async fn slow_clients_are_served() {
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &server)]).await;
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
        let (mut wire, request) = server.accept_request().await;
        assert!(request.body == body.as_bytes());
        wire.respond("200 OK", "", "done").await;
    };
    tokio::join!(writing, answering);
    assert_eq!(client.read().await.expect("an answer").body, b"done");
}

/// A large answer on its way when the proxy ends comes whole, though that takes longer than any
/// deadline.
#[tokio::test]
async fn large_response_is_finished_after_sigterm() {
    let server = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let mut settings = settings();
    for class in 0..3 {
        settings["profiles"][class]["deadline_ns"] = serde_json::json!(200_000_000);
    }
    let (mut proxy, _watch) = ProxyBuilder::new(discovery.address())
        .settings(settings)
        .start_ready(&discovery, &[endpoint("s", server.address(), "active")])
        .await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.accept_request().await;
    let body = text(300_000);
    let (begun, rest) = body.split_at(100_000);
    wire.write(&format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{begun}",
        body.len()
    ))
    .await;
    proxy.signal("TERM").await;
    proxy.wait_for_log("leaving").await;
    // Past the deadline and all that is added to it. Were the machine slower, the test would only
    // see less.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let ((), (_, read)) = tokio::join!(wire.write(rest), client.read_streamed());
    assert!(read.as_deref() == Some(body.as_bytes()));
    assert!(proxy.wait_for_exit().await.success());
}
