//! Requests whose body is about as large as what a node buffers, at backends that fail: which of them
//! are sent again.

mod common;
use common::*;
use std::time::Duration;

/// Time that clients give a request which is to end long before.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// How a backend fails after it has received a whole request.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Close,
    Reset,
    ResetInResponse,
    /// The response promises that the request was not executed.
    Rejection,
}

/// The failures after which the request may have been executed.
const CONNECTION_LOSSES: [Failure; 3] = [Failure::Close, Failure::Reset, Failure::ResetInResponse];

impl Failure {
    async fn apply(self, mut connection: Connection) {
        match self {
            Failure::Close => drop(connection),
            Failure::Reset => connection.reset(),
            Failure::ResetInResponse => {
                connection.write("HTTP/1.1 200 OK\r\nContent-Le").await;
                connection.reset();
            }
            Failure::Rejection => {
                connection
                    .respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
                    .await;
            }
        }
    }
}

/// Sends a request of this class, lets the backend that gets it fail once it has the whole body,
/// and asserts that the request is not sent again and fails. `cells` are those of the two backends.
async fn assert_not_sent_again(class: &str, cells: [u32; 2], failure: Failure) {
    for framing in FRAMINGS {
        for size in BODY_SIZES {
            let case = format!("{class} {cells:?} {failure:?} {framing:?} {size}");
            let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
            let (proxy, _discovery, _watch) =
                serve_cells([(&one, cells[0]), (&two, cells[1])]).await;
            let body = numbered_text(size);
            let mut client = proxy.connect().await;
            let request = framing.request("r", class, LONG_TIMEOUT, &body);
            let receiving = async {
                let (mut connection, other) = accept_at_either(&one, &two).await;
                let received = connection.read_streamed().await.1;
                assert!(received.as_deref() == Some(body.as_bytes()), "{case}");
                failure.apply(connection).await;
                other
            };
            let ((), other) = tokio::join!(client.write(&request), receiving);
            expect_failure_without_retry(&mut client, other, &case).await;
        }
    }
}

/// Asserts that a request fails, since it may have been executed, and that the backend that did not
/// get it before does not get it now.
async fn expect_failure_without_retry(client: &mut Connection, other: &ScriptedServer, case: &str) {
    let response = tokio::select! {
        _ = other.accept() => panic!("sent again: {case}"),
        response = client.read() => response.expect("a response"),
    };
    assert_eq!(response.status(), 504, "{case}");
    assert!(other.receives_no_connection().await, "sent again: {case}");
}

/// Starts a process with these backends, each in the cell beside it.
async fn serve_cells(
    backends: [(&ScriptedServer, u32); 2],
) -> (ProxyProcess, ScriptedServer, WatchStream) {
    let discovery = ScriptedServer::new().await;
    let endpoints = backends.map(|(backend, cell)| {
        let address = backend.address();
        let mut endpoint = endpoint(&address.to_string(), address, "active");
        endpoint["cell"] = cell.into();
        endpoint
    });
    let (proxy, watch) = ProxyBuilder::new(discovery.address())
        .start_ready(&discovery, &endpoints)
        .await;
    (proxy, discovery, watch)
}

/// A backend that loses its connection after it has the whole request may have executed it. A body
/// whose last byte came with the bytes that exceed the buffer counted as incomplete, and the request
/// as never executed: a non-idempotent request was executed twice.
#[tokio::test]
async fn non_idempotent_request_is_not_sent_again_whatever_the_size_of_its_body() {
    for failure in CONNECTION_LOSSES {
        assert_not_sent_again("unsafe", [1, 1], failure).await;
    }
}

/// The same for the pieces in which a body arrives: the piece that exceeds the buffer is the last
/// one, or is followed by a single byte.
#[tokio::test]
async fn non_idempotent_request_is_not_sent_again_whatever_the_pieces_of_its_body() {
    for framing in FRAMINGS {
        for pieces in [
            vec![BUFFER_LIMIT - 1, 1],
            vec![BUFFER_LIMIT, 1],
            vec![BUFFER_LIMIT, MAX_FRAME_BYTES / 2],
            vec![BUFFER_LIMIT, MAX_FRAME_BYTES],
            vec![BUFFER_LIMIT, MAX_FRAME_BYTES / 2, 1],
        ] {
            let case = format!("{framing:?} {pieces:?}");
            let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
            let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
            let body = numbered_text(pieces.iter().sum());
            let mut client = proxy.connect().await;
            let sending = async {
                client
                    .write(&framing.head("r", "unsafe", LONG_TIMEOUT, body.len()))
                    .await;
                let mut rest = body.as_str();
                for piece in pieces {
                    let (data, following) = rest.split_at(piece);
                    client.write(data).await;
                    rest = following;
                    // The node has read the piece by then; on a slower machine the test may detect
                    // less.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                client.write(framing.end()).await;
            };
            let receiving = async {
                let (mut connection, other) = accept_at_either(&one, &two).await;
                let received = connection.read_streamed().await.1;
                assert!(received.as_deref() == Some(body.as_bytes()), "{case}");
                connection.reset();
                other
            };
            let ((), other) = tokio::join!(sending, receiving);
            expect_failure_without_retry(&mut client, other, &case).await;
        }
    }
}

/// As above, for a key that only the backends of a cell share: the request was executed in a second
/// cell.
#[tokio::test]
async fn keyed_request_is_not_sent_to_another_cell_whatever_the_size_of_its_body() {
    for failure in CONNECTION_LOSSES {
        assert_not_sent_again("keyed", [1, 2], failure).await;
    }
}

/// A request that was sent whole leaves its connection usable. A body that counted as incomplete
/// had its connection closed after the response.
#[tokio::test]
async fn connection_stays_open_after_a_body_of_any_size() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    for size in BODY_SIZES {
        let body = numbered_text(size);
        let request = Framing::Length.request(&size.to_string(), "unsafe", LONG_TIMEOUT, &body);
        let answering = async {
            let (mut connection, request) = backend.accept_request().await;
            assert!(request.body == body.as_bytes(), "{size}");
            connection
                .respond("200 OK", "Connection: close\r\n", "done")
                .await;
        };
        tokio::join!(client.write(&request), answering);
        let response = client.read().await.expect("a response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, None),
            "{size}"
        );
    }
}

/// Sends requests of this class, lets the backend that gets one fail once it has the whole body, and
/// asserts that the other backend gets the request with its whole body.
async fn assert_sent_again_whole(class: &str, failure: Failure) {
    for framing in FRAMINGS {
        for size in REPEATABLE_SIZES {
            let case = format!("{class} {failure:?} {framing:?} {size}");
            let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
            let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
            let body = numbered_text(size);
            let mut client = proxy.connect().await;
            let request = framing.request("r", class, LONG_TIMEOUT, &body);
            let serving = async {
                let (mut connection, other) = accept_at_either(&one, &two).await;
                assert!(connection.read_streamed().await.1.is_some(), "{case}");
                failure.apply(connection).await;
                serve_whole_request(other.accept().await, &body, &case).await;
            };
            tokio::join!(client.write(&request), serving);
            client.expect_status(200).await;
        }
    }
}

/// A backend's promise that it has not executed a request lets even a non-idempotent one be sent
/// again, with its whole body.
#[tokio::test]
async fn rejected_request_is_sent_again_whole() {
    assert_sent_again_whole("unsafe", Failure::Rejection).await;
}

/// After a backend has lost its connection, a request whose key the other backend shares is sent
/// again, with its whole body.
#[tokio::test]
async fn keyed_request_is_sent_again_whole_after_a_reset() {
    assert_sent_again_whole("keyed", Failure::Reset).await;
}

/// A connection that is lost before the last byte of the body was received proves that the request
/// was not executed: even a non-idempotent one is sent again, with its whole body.
#[tokio::test]
async fn request_reset_before_its_last_byte_is_sent_again_whole() {
    for framing in FRAMINGS {
        let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
        let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
        let body = numbered_text(match framing {
            Framing::Length => 100_000,
            Framing::Chunked => BUFFER_LIMIT + 1,
        });
        let (first_part, rest) = body.split_at(BUFFER_LIMIT + 1);
        let head = framing.head("r", "unsafe", LONG_TIMEOUT, body.len());
        let mut client = proxy.connect().await;
        client.write(&(head + first_part)).await;
        let (mut connection, other) = accept_at_either(&one, &two).await;
        assert!(connection.read_bytes(BUFFER_LIMIT).await.is_some());
        connection.reset();
        // Only once the second attempt has begun: the first one must not read on.
        let connection = other.accept().await;
        let sending = format!("{rest}{}", framing.end());
        let case = format!("{framing:?}");
        let serving = serve_whole_request(connection, &body, &case);
        tokio::join!(client.write(&sending), serving);
        client.expect_status(200).await;
    }
}

/// A backend that refuses the connection cannot have executed a request: another one gets it whole.
#[tokio::test]
async fn request_is_sent_whole_after_a_refused_connection() {
    let (refusing, serving) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, _discovery, _watch) =
        serve(&[("refusing", &refusing), ("serving", &serving)]).await;
    drop(refusing);
    for framing in FRAMINGS {
        for size in REPEATABLE_SIZES {
            let case = format!("{framing:?} {size}");
            let body = numbered_text(size);
            let mut client = proxy.connect().await;
            let id = case.replace(' ', "-");
            let request = framing.request(&id, "unsafe", LONG_TIMEOUT, &body);
            let serving = async {
                let connection = serving.accept().await;
                serve_whole_request(connection, &body, &case).await;
            };
            tokio::join!(client.write(&request), serving);
            client.expect_status(200).await;
        }
    }
}
