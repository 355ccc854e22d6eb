//! Client connections and messages against the limits on descriptors and memory.

mod common;
use common::*;
use serde_json::json;

/// Idle connections and heads that never end keep nobody out, and never use up the descriptors.
#[tokio::test]
async fn idle_connections_beyond_the_descriptor_limit_are_evicted() {
    let server = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let (proxy, _watch) = ProxyBuilder::new(discovery.address())
        .descriptors(64)
        .start_ready(&discovery, &[endpoint("s", server.address(), "active")])
        .await;
    let mut crowd = Vec::new();
    for k in 0..100 {
        let mut client = proxy.connect().await;
        if k % 2 == 0 {
            client.write("POST /unsafe HT").await;
        }
        crowd.push(client);
    }
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.accept_request().await;
    assert!(proxy.open_descriptors() <= 64);
    wire.respond("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// Clients that say nothing, or half a head, take all descriptors that they can get while discovery
/// is down, and the system allows fewer of them than the configuration says. What the proxy itself
/// needs is left: discovery's return is noticed, the console answers, servers are connected, and
/// proper clients get a place.
#[tokio::test]
async fn clients_cannot_exhaust_the_descriptors_of_discovery_and_admin() {
    for asked in [false, true] {
        let server = ScriptedServer::new().await;
        let discovery = ScriptedServer::new().await;
        let address = discovery.address();
        drop(discovery); // It refuses connections until it is back.
        let mut settings = settings();
        settings["registry_mode"] = json!(if asked { "subscribe" } else { "automatic" });
        let proxy = ProxyBuilder::new(address)
            .settings(settings)
            .admin()
            .descriptor_limit(96)
            .start()
            .await;
        let mut crowd = Vec::new();
        for k in 0..200 {
            let mut client = proxy.connect().await;
            if k % 2 == 0 {
                client.write_until_closed("POST /unsafe HT").await;
            }
            crowd.push(client);
        }
        // A third of what the system allows is never theirs.
        for _ in 0..60 {
            assert!(
                proxy.open_descriptors() <= 64,
                "{}",
                proxy.open_descriptors()
            );
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        assert_eq!(proxy.admin_call("GET", "/healthcheck").await, 503);
        let discovery = ScriptedServer::at(address).await;
        let (mut watch, _) = discovery.accept_watch().await;
        watch
            .send_list(1, true, &[endpoint("s", server.address(), "active")])
            .await;
        proxy.wait_until_ready().await;
        assert_eq!(proxy.admin_call("GET", "/healthcheck").await, 200);
        let mut client = proxy.connect().await;
        client.send("unsafe", "20000m").await;
        let (mut wire, _) = server.accept_request().await;
        assert!(
            proxy.open_descriptors() <= 96,
            "{}",
            proxy.open_descriptors()
        );
        wire.respond("200 OK", "", "").await;
        assert_eq!(client.read().await.expect("an answer").status(), 200);
    }
}

/// Connections that come all at once fill every place before any of them has had its turn. Room is
/// made all the same.
#[tokio::test]
async fn burst_of_idle_connections_does_not_block_new_clients() {
    let server = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let (proxy, _watch) = ProxyBuilder::new(discovery.address())
        .descriptors(64)
        .start_ready(&discovery, &[endpoint("s", server.address(), "active")])
        .await;
    proxy.signal("STOP").await;
    let mut crowd = Vec::new();
    for _ in 0..100 {
        crowd.push(proxy.connect().await);
    }
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    proxy.signal("CONT").await;
    let (mut wire, _) = server.accept_request().await;
    wire.respond("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// Requests may come with their connections, and more at once than there are places: room is made
/// where nothing was asked, not where a request is still to be read.
#[tokio::test]
async fn burst_of_requests_beyond_the_connection_limit_is_served() {
    let server = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let (proxy, _watch) = ProxyBuilder::new(discovery.address())
        .descriptors(64)
        .start_ready(&discovery, &[endpoint("s", server.address(), "active")])
        .await;
    proxy.signal("STOP").await;
    let mut crowd = Vec::new();
    for _ in 0..40 {
        let mut client = proxy.connect().await;
        client.send("safe", "20000m").await;
        crowd.push(client);
    }
    proxy.signal("CONT").await;
    let answering = tokio::spawn(async move {
        let mut serving = tokio::task::JoinSet::new();
        loop {
            let mut wire = server.accept().await;
            serving.spawn(async move {
                while wire.read().await.is_some() {
                    wire.respond("200 OK", "", "").await;
                }
            });
        }
    });
    for client in &mut crowd {
        // Served or refused, each is answered.
        assert!([200, 503].contains(&client.read().await.expect("an answer").status()));
    }
    answering.abort();
}

/// Every place taken by a body of the largest kind, and each answered with one: memory stays within
/// its limit.
#[tokio::test]
async fn largest_bodies_on_every_connection_fit_into_memory() {
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &server)]).await;
    let large = "x".repeat(64 << 10);
    let mut clients = Vec::new();
    let mut wires = Vec::new();
    for k in 0..128 {
        let mut client = proxy.connect().await;
        let head =
            "POST /unsafe HTTP/1.1\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\nX-Cost: 1\r\n";
        client
            .write(&format!(
                "{head}X-Request-ID: r{k}\r\nContent-Length: {}\r\n\r\n{large}",
                large.len()
            ))
            .await;
        tokio::select! {
            (wire, request) = server.accept_request() => {
                assert_eq!(request.body.len(), large.len());
                wires.push(wire);
                clients.push(client);
            }
            answer = client.read() => assert_eq!(answer.expect("an answer").status(), 503),
        }
    }
    let held = wires.len();
    for wire in &mut wires {
        wire.respond("200 OK", "", &large).await;
    }
    for client in &mut clients {
        assert_eq!(
            client.read().await.expect("an answer").body.len(),
            large.len()
        );
    }
    println!("{held} held, peak {} KiB", proxy.peak_memory_kib());
    assert!(proxy.peak_memory_kib() < MEMORY_MB << 10);
}

/// More servers than descriptors: idle connections are closed for new ones, and the proxy's own
/// shortage never passes for a server's failure.
#[tokio::test]
async fn more_backends_than_descriptors_are_served() {
    let discovery = ScriptedServer::new().await;
    let proxy = ProxyBuilder::new(discovery.address())
        .descriptors(64)
        .start()
        .await;
    let mut servers = Vec::new();
    for _ in 0..40 {
        servers.push(ScriptedServer::new().await);
    }
    let (mut watch, _) = discovery.accept_watch().await;
    let list = |only: usize| {
        vec![endpoint(
            &format!("s{only}"),
            servers[only].address(),
            "active",
        )]
    };
    let all: Vec<_> = (0..servers.len()).flat_map(list).collect();
    watch.send_list(1, true, &all).await;
    proxy.wait_until_ready().await;
    let mut wires = Vec::new();
    let mut client = proxy.connect().await;
    for k in 0..servers.len() {
        // All but one drain, and keep their connections until they are gone.
        let phases = (0..servers.len()).map(|s| {
            endpoint(
                &format!("s{s}"),
                servers[s].address(),
                if s == k { "active" } else { "leaving" },
            )
        });
        watch
            .send_list(2 + k as u64, false, &phases.collect::<Vec<_>>())
            .await;
        proxy.wait_for_revision(2 + k as u64).await;
        client.send("unsafe", "20000m").await;
        let (mut wire, _) = servers[k].accept_request().await;
        wire.respond("200 OK", "", "").await;
        assert_eq!(client.read().await.expect("an answer").status(), 200);
        wires.push(wire);
    }
    assert!(proxy.open_descriptors() <= 64);
}

/// A connection is closed by the proxy well before the server would: a request that crosses that may
/// be lost.
#[tokio::test]
async fn idle_upstream_connections_are_closed() {
    let server = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let mut settings = settings();
    settings["limits"]["conn_idle_ns"] = json!(400_000_000);
    let (proxy, _watch) = ProxyBuilder::new(discovery.address())
        .settings(settings)
        .start_ready(&discovery, &[endpoint("s", server.address(), "active")])
        .await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.accept_request().await;
    wire.respond("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    wire.expect_closed().await;
}
