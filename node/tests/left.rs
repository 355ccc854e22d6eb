//! Clients that leave while their request waits: it isn't sent on.

mod common;
use common::*;

const CLASSES: [&str; 3] = ["safe", "keyed", "unsafe"];

/// A connection to a server that comes up after the client has left carries nothing, and the request is over: its name
/// may be used again.
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
            within("a connection", listener.accept()).await.expect("a connection");
        }
        let sent = async {
            loop {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let mut byte = [0];
                if tokio::io::AsyncReadExt::read(&mut stream, &mut byte).await.is_ok_and(|n| n > 0) {
                    return;
                }
            }
        };
        tokio::select! {
            () = sent => panic!("{class} was sent on"),
            line = node.logged("stats ") => assert!(line.contains(" gone=1 ") && line.contains(" in_hand=0 "), "{line}"),
        }
        let mut client = node.client().await;
        client.send_as("left", class, "20000m").await;
        let (mut stream, _) = within("the node's connection", listener.accept()).await.expect("a connection");
        let mut byte = [0];
        within("a request", tokio::io::AsyncReadExt::read_exact(&mut stream, &mut byte))
            .await
            .expect("a byte");
    }
}
