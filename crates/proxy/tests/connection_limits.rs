//! Integration tests of the limits on descriptors and memory, with many connections and with large
//! messages.

mod common;
use common::*;
use serde_json::json;

/// Connections that send nothing, or a head that never ends, outnumber the descriptors. They must
/// neither keep other clients out nor exhaust the descriptors.
#[tokio::test]
async fn idle_connections_beyond_the_descriptor_limit_are_evicted() {
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let (proxy, _watch) = ProxyBuilder::new(discovery.address())
        .configured_descriptors(64)
        .start_ready(&discovery, &[endpoint("s", backend.address(), "active")])
        .await;
    let mut idle_clients = Vec::new();
    for k in 0..100 {
        let mut client = proxy.connect().await;
        if k % 2 == 0 {
            client.write("POST /unsafe HT").await;
        }
        idle_clients.push(client);
    }
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    assert!(proxy.open_descriptors() <= 64);
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
}

/// Idle clients take all the descriptors that they can get while discovery is down, and the system
/// allows fewer descriptors than the configuration. Those that the process needs for itself must
/// remain: it notices that discovery is back, the admin server responds, backends are connected to,
/// and clients with requests are served.
#[tokio::test]
async fn clients_cannot_exhaust_the_descriptors_of_discovery_and_admin() {
    for is_polled in [false, true] {
        let backend = ScriptedServer::new().await;
        let discovery = ScriptedServer::new().await;
        let address = discovery.address();
        drop(discovery); // Its address refuses connections until it is back.
        let mut settings = settings();
        settings["registry_mode"] = json!(if is_polled { "subscribe" } else { "automatic" });
        let proxy = ProxyBuilder::new(address)
            .settings(settings)
            .with_admin_server()
            .system_descriptor_limit(96)
            .start()
            .await;
        let mut idle_clients = Vec::new();
        for k in 0..200 {
            let mut client = proxy.connect().await;
            if k % 2 == 0 {
                client.write_until_closed("POST /unsafe HT").await;
            }
            idle_clients.push(client);
        }
        // A third of the limit is never available to clients.
        for _ in 0..60 {
            assert!(
                proxy.open_descriptors() <= 64,
                "{}",
                proxy.open_descriptors()
            );
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        assert_eq!(proxy.admin_call("GET", "/healthcheck").await, 503);
        let discovery = ScriptedServer::bind(address).await;
        let (mut watch, _) = discovery.accept_watch().await;
        watch
            .send_list(1, true, &[endpoint("s", backend.address(), "active")])
            .await;
        proxy.wait_until_ready().await;
        assert_eq!(proxy.admin_call("GET", "/healthcheck").await, 200);
        let mut client = proxy.connect().await;
        client.send("unsafe", "20000m").await;
        let (mut connection, _) = backend.accept_request().await;
        assert!(
            proxy.open_descriptors() <= 96,
            "{}",
            proxy.open_descriptors()
        );
        connection.respond("200 OK", "", "").await;
        client.expect_status(200).await;
    }
}

/// Connections that arrive in one burst, while the process is stopped, fill every slot before the
/// process has run. Some of them must be evicted all the same.
#[tokio::test]
async fn burst_of_idle_connections_does_not_block_new_clients() {
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let (proxy, _watch) = ProxyBuilder::new(discovery.address())
        .configured_descriptors(64)
        .start_ready(&discovery, &[endpoint("s", backend.address(), "active")])
        .await;
    proxy.signal("STOP").await;
    let mut idle_clients = Vec::new();
    for _ in 0..100 {
        idle_clients.push(proxy.connect().await);
    }
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    proxy.signal("CONT").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
}

/// More clients than there are slots send a request at the same time. Eviction must close
/// connections without a request only, not those whose request is still to be read.
#[tokio::test]
async fn burst_of_requests_beyond_the_connection_limit_is_served() {
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let (proxy, _watch) = ProxyBuilder::new(discovery.address())
        .configured_descriptors(64)
        .start_ready(&discovery, &[endpoint("s", backend.address(), "active")])
        .await;
    proxy.signal("STOP").await;
    let mut clients = Vec::new();
    for _ in 0..40 {
        let mut client = proxy.connect().await;
        client.send("safe", "20000m").await;
        clients.push(client);
    }
    proxy.signal("CONT").await;
    let backend_task = tokio::spawn(async move {
        let mut connection_tasks = tokio::task::JoinSet::new();
        loop {
            let mut connection = backend.accept().await;
            connection_tasks.spawn(async move {
                while connection.read().await.is_some() {
                    connection.respond("200 OK", "", "").await;
                }
            });
        }
    });
    for client in &mut clients {
        // Served or rejected, each gets a response.
        assert!([200, 503].contains(&client.read().await.expect("a response").status()));
    }
    backend_task.abort();
}

/// Every connection slot holds a body of the largest buffered size in both directions. The process
/// must stay within its memory limit.
#[tokio::test]
async fn largest_bodies_on_every_connection_fit_into_memory() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let buffered_body = "x".repeat(64 << 10);
    let mut clients = Vec::new();
    let mut connections = Vec::new();
    for k in 0..128 {
        let mut client = proxy.connect().await;
        let head =
            "POST /unsafe HTTP/1.1\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\nX-Cost: 1\r\n";
        client
            .write(&format!(
                "{head}X-Request-ID: r{k}\r\nContent-Length: {}\r\n\r\n{buffered_body}",
                buffered_body.len()
            ))
            .await;
        tokio::select! {
            (connection, request) = backend.accept_request() => {
                assert_eq!(request.body.len(), buffered_body.len());
                connections.push(connection);
                clients.push(client);
            }
            response = client.read() => assert_eq!(response.expect("a response").status(), 503),
        }
    }
    let in_flight = connections.len();
    for connection in &mut connections {
        connection.respond("200 OK", "", &buffered_body).await;
    }
    for client in &mut clients {
        assert_eq!(
            client.read().await.expect("a response").body.len(),
            buffered_body.len()
        );
    }
    println!(
        "{in_flight} requests in flight, peak {} KiB",
        proxy.peak_memory_kib()
    );
    assert!(proxy.peak_memory_kib() < MEMORY_MB << 10);
}

/// There are more backends than descriptors for connections to them. Idle connections must be
/// closed in favour of new ones, and the process's own shortage of descriptors must never count as
/// a backend's failure.
#[tokio::test]
async fn more_backends_than_descriptors_are_served() {
    let discovery = ScriptedServer::new().await;
    let proxy = ProxyBuilder::new(discovery.address())
        .configured_descriptors(64)
        .start()
        .await;
    let mut backends = Vec::new();
    for _ in 0..40 {
        backends.push(ScriptedServer::new().await);
    }
    let (mut watch, _) = discovery.accept_watch().await;
    let active_endpoint = |position: usize| {
        vec![endpoint(
            &format!("s{position}"),
            backends[position].address(),
            "active",
        )]
    };
    let all: Vec<_> = (0..backends.len()).flat_map(active_endpoint).collect();
    watch.send_list(1, true, &all).await;
    proxy.wait_until_ready().await;
    let mut connections = Vec::new();
    let mut client = proxy.connect().await;
    for k in 0..backends.len() {
        // One backend is active at a time; all others drain.
        let entries = (0..backends.len()).map(|s| {
            endpoint(
                &format!("s{s}"),
                backends[s].address(),
                if s == k { "active" } else { "leaving" },
            )
        });
        watch
            .send_list(2 + k as u64, false, &entries.collect::<Vec<_>>())
            .await;
        proxy.wait_for_revision(2 + k as u64).await;
        client.send("unsafe", "20000m").await;
        let (mut connection, _) = backends[k].accept_request().await;
        connection.respond("200 OK", "", "").await;
        client.expect_status(200).await;
        connections.push(connection);
    }
    assert!(proxy.open_descriptors() <= 64);
}

/// The process must close its idle connections to a backend well before the backend does: a request
/// that crosses the backend's close may be lost.
#[tokio::test]
async fn idle_upstream_connections_are_closed() {
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let mut settings = settings();
    settings["limits"]["conn_idle_ns"] = json!(400_000_000);
    let (proxy, _watch) = ProxyBuilder::new(discovery.address())
        .settings(settings)
        .start_ready(&discovery, &[endpoint("s", backend.address(), "active")])
        .await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
    connection.expect_closed().await;
}
