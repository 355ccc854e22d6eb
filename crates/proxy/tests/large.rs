//! Messages over 64 KiB, which pass through as they come, and clients that are slow with theirs.

mod common;
use common::*;
use std::time::Duration;

const MEBI: usize = 1 << 20;

/// Text of so many bytes in which no two parts are alike.
fn text(length: usize) -> String {
    let mut text: String = (0..=(length / 8)).map(|n| format!("{n:07x} ")).collect();
    text.truncate(length);
    text
}

/// An answer in each form, with its body.
fn forms(body: &str) -> Vec<(String, bool)> {
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
async fn answers_of_every_form_and_size_come_whole() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    for size in [0, 1, 64 << 10, (64 << 10) + 1, 300_000, 32 * MEBI] {
        let body = text(size);
        for (answer, ends) in forms(&body) {
            let mut client = node.client().await;
            client.send("unsafe", "20000m").await;
            let (mut wire, _) = server.request().await;
            let writing = async {
                wire.write(&answer).await;
                if ends {
                    wire.close().await;
                }
            };
            let ((), (head, read)) = tokio::join!(writing, client.read_large());
            assert_eq!(head.status(), 200);
            assert!(
                read.as_deref() == Some(body.as_bytes()),
                "{size} as {answer:.80}"
            );
        }
    }
    assert!(
        node.memory_peak() < MEMORY_MB << 10,
        "{}",
        node.memory_peak()
    );
}

/// The first bytes of a large answer don't wait for the last ones.
#[tokio::test]
async fn a_large_answer_is_passed_on_as_it_comes() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let (length, first) = (200_000, text(70_000));
    for (head, chunk) in [
        ("Content-Length: 200000", String::new()),
        ("Transfer-Encoding: chunked", "30d40\r\n".into()),
    ] {
        let mut client = node.client().await;
        client.send("unsafe", "20000m").await;
        let (mut wire, _) = server.request().await;
        wire.write(&format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{chunk}{first}"))
            .await;
        let mut read = Vec::new();
        while read.len() < first.len() {
            read.extend(client.take(1).await.expect("what has come so far"));
        }
        wire.write(&"x".repeat(length - first.len())).await;
        drop(wire);
    }
}

/// What breaks once bytes were passed on is not asked for again, and the client can tell.
#[tokio::test]
async fn a_large_answer_that_breaks_ends_the_clients_connection() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let body = text(200_000);
    let over = format!(
        "Transfer-Encoding: chunked\r\n\r\n3000000\r\n{}",
        "x".repeat(33 * MEBI)
    );
    for answer in [
        format!("Content-Length: 200001\r\n\r\n{body}"),
        format!("Transfer-Encoding: chunked\r\n\r\n30d40\r\n{body}\r\n"),
        format!("Transfer-Encoding: chunked\r\n\r\n30d40\r\n{body}\r\nxyz\r\n"),
        over,
    ] {
        let mut client = node.client().await;
        client.send("safe", "20000m").await;
        let (mut wire, _) = server.request().await;
        let writing = async {
            wire.write_what_is_taken(&format!("HTTP/1.1 200 OK\r\n{answer}"))
                .await;
            drop(wire);
        };
        let ((), (head, read)) = tokio::join!(writing, client.read_large());
        assert_eq!((head.status(), read), (200, None), "{answer:.40}");
        client.ended().await;
        assert!(server.untouched().await);
    }
}

/// A client that reads nothing holds bounded memory, holds nobody up, and has its answer whole once
/// it reads.
#[tokio::test]
async fn clients_that_read_nothing_hold_little() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let body = text(8 * MEBI);
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut clients = Vec::new();
    let mut writing = tokio::task::JoinSet::new();
    for _ in 0..20 {
        let mut client = node.client().await;
        client.send("safe", "20000m").await;
        let (mut wire, _) = server.request().await;
        let answer = answer.clone();
        writing.spawn(async move { wire.write(&answer).await });
        clients.push(client);
    }
    let mut quick = node.client().await;
    quick.send("safe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "quick").await;
    assert_eq!(quick.read().await.expect("an answer").body, b"quick");
    for client in &mut clients {
        assert!(client.read_large().await.1.as_deref() == Some(body.as_bytes()));
    }
    while writing.join_next().await.is_some() {}
    assert!(node.memory_peak() < 32 << 10, "{}", node.memory_peak());
}

/// Who takes nothing for 10 s is not waited for, on either side.
#[tokio::test]
async fn a_transfer_that_stands_still_is_ended() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut silent = node.client().await;
    silent.send("safe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.write(&format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n{}",
        text(100_000)
    ))
    .await;
    assert_eq!(silent.read_large().await.1, None, "the server says no more");
    let mut deaf = node.client().await;
    deaf.send("safe", "20000m").await;
    let (mut wire, _) = server.request().await;
    let body = "x".repeat(32 * MEBI);
    wire.write_what_is_taken(&format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
    .await;
    wire.ended().await;
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
async fn a_large_body_goes_on_as_it_comes() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let body = text(100_000);
    let mut client = node.client().await;
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
        wire.answer("200 OK", "", "done").await;
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
async fn a_chunked_body_of_the_largest_size_goes_on() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let body = text(32 * MEBI);
    let mut client = node.client().await;
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
        let read = wire.read_large().await.1;
        wire.answer("200 OK", "", "done").await;
        read
    };
    let ((), read) = tokio::join!(writing, reading);
    assert!(read.as_deref() == Some(body.as_bytes()));
    assert_eq!(client.read().await.expect("an answer").body, b"done");
    assert!(node.memory_peak() < 16 << 10, "{}", node.memory_peak());
}

/// What is not whole reaches no server as a request, and the client hears what is wrong if it is
/// there to hear it.
#[tokio::test]
async fn a_large_body_that_is_no_good_is_no_request() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let part = text(70_000);
    let chunk = format!("{:x}\r\n{part}\r\n", part.len());
    let over = format!("3000000\r\n{}", "x".repeat(33 * MEBI));
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
        let mut client = node.client().await;
        let sending = async {
            client
                .write_what_is_taken(&(upload(&format!("b{n}"), "unsafe", framing) + &body))
                .await;
            client.read().await.expect("an answer").status()
        };
        let taking = async {
            let mut wire = server.accept().await;
            wire.read_large().await.1
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
    let mut client = node.client().await;
    client
        .write(&(upload("gone", "unsafe", "Content-Length: 100000") + &part))
        .await;
    let mut wire = server.accept().await;
    // Once its attempt is under way: before that nothing would be sent for a client that has left.
    assert!(wire.take(1).await.is_some());
    drop(client);
    assert_eq!(wire.read_large().await.1, None);
}

/// An unsafe request whose body breaks off before its last byte has not run, and goes nowhere else:
/// its client has left, or its server has, with a part that is not held any more. Its name is free
/// again.
#[tokio::test]
async fn an_upload_that_breaks_before_its_last_byte_is_not_sent_again() {
    for (by_client, reset) in [(true, false), (true, true), (false, false), (false, true)] {
        let (first, second) = (Peer::new().await, Peer::new().await);
        let (node, _discovery, _watch) =
            Node::serving(&[("first", &first), ("second", &second)]).await;
        let body = text(200_000);
        let head = upload("u9", "unsafe", "Content-Length: 200000");
        let told = format!("by the client {by_client}, reset {reset}");
        let mut client = node.client().await;
        client.write(&(head.clone() + &body[..199_999])).await;
        let (mut wire, other) = tokio::select! {
            wire = first.accept() => (wire, &second),
            wire = second.accept() => (wire, &first),
        };
        // More than is held has gone on.
        let _ = wire.take(150_000).await.expect("a part");
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
        assert!(other.untouched().await, "sent elsewhere: {told}");
        let serving = async {
            let mut wire = tokio::select! {
                wire = first.accept() => wire,
                wire = second.accept() => wire,
            };
            let request = wire.read().await.expect("a request");
            wire.answer("200 OK", "", "done").await;
            request.body.len()
        };
        let asking = async {
            let mut again = node.client().await;
            again.write_what_is_taken(&(head + &body)).await;
            again.read().await.expect("an answer").status()
        };
        assert_eq!(tokio::join!(serving, asking), (200_000, 200), "{told}");
    }
}

/// Until more of it is taken than is held, a large request can go to another server.
#[tokio::test]
async fn a_large_request_that_was_turned_away_early_goes_elsewhere_whole() {
    let (first, second) = (Peer::new().await, Peer::new().await);
    let (node, _discovery, _watch) = Node::serving(&[("first", &first), ("second", &second)]).await;
    let body = text(100_000);
    let mut client = node.client().await;
    client
        .write(&(upload("u3", "unsafe", "Content-Length: 100000") + &body[..70_000]))
        .await;
    let (mut wire, other) = tokio::select! {
        wire = first.accept() => (wire, &second),
        wire = second.accept() => (wire, &first),
    };
    wire.answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
        .await;
    let mut wire = other.accept().await;
    client.write(&body[70_000..]).await;
    assert!(wire.read().await.expect("a request").body == body.as_bytes());
    wire.answer("200 OK", "", "done").await;
    assert_eq!(client.read().await.expect("an answer").body, b"done");
}

/// A request that is given up gets its answer at once, also where its client is still writing.
#[tokio::test]
async fn an_early_answer_reaches_a_client_that_is_still_writing() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let body = text(4 * MEBI);
    let mut client = node.client().await;
    client
        .write(
            &(upload("u4", "unsafe", &format!("Content-Length: {}", body.len())) + &body[..70_000]),
        )
        .await;
    let mut wire = server.accept().await;
    wire.answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
        .await;
    client.write(&body[70_000..]).await;
    let answer = client.read().await.expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (503, Some("close"))
    );
    client.closed().await;
}

/// A proper client may take 2 s for a head and send its body at 64 kB a second.
#[tokio::test]
async fn slow_clients_are_served() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let (head, body) = (
        upload("slow", "unsafe", "Content-Length: 64000"),
        text(64_000),
    );
    let mut client = node.client().await;
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
        let (mut wire, request) = server.request().await;
        assert!(request.body == body.as_bytes());
        wire.answer("200 OK", "", "done").await;
    };
    tokio::join!(writing, answering);
    assert_eq!(client.read().await.expect("an answer").body, b"done");
}

/// A large answer on its way when the node ends comes whole, though that takes longer than any
/// deadline.
#[tokio::test]
async fn a_large_answer_outlasts_the_signal() {
    let server = Peer::new().await;
    let discovery = Peer::new().await;
    let mut settings = settings();
    for class in 0..3 {
        settings["profiles"][class]["deadline_ns"] = serde_json::json!(200_000_000);
    }
    let mut node = Node::with(&discovery, settings, 1024).await;
    let (mut watch, _) = discovery.watch().await;
    watch
        .list(1, true, &[member("s", server.address(), "active")])
        .await;
    node.ready().await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    let body = text(300_000);
    let (begun, rest) = body.split_at(100_000);
    wire.write(&format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{begun}",
        body.len()
    ))
    .await;
    node.signal("TERM").await;
    node.logged("leaving").await;
    // Past the deadline and all that is added to it. Were the machine slower, the test would only
    // see less.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let ((), (_, read)) = tokio::join!(wire.write(rest), client.read_large());
    assert!(read.as_deref() == Some(body.as_bytes()));
    assert!(node.exited().await.success());
}
