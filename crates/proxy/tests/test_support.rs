//! What the other tests rely on in `common`.

mod common;
use common::*;
use std::io::ErrorKind;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::net::TcpStream;

/// Threads that start processes at the same time.
const SPAWNING_THREADS: usize = 4;
/// Processes that are started while listeners are closed.
const PROCESSES: usize = 2000;

/// Starts one short process after another until `started` has reached [`PROCESSES`].
fn spawn_processes(started: Arc<AtomicUsize>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        while started.fetch_add(1, Ordering::Relaxed) < PROCESSES {
            let spawn = || Command::new("true").spawn();
            let mut child = spawn_locked(spawn, |child: &Child| Some(child.id())).expect("true");
            child.wait().expect("its status");
        }
    })
}

/// A child that still held a copy of the listener would accept the connection.
#[tokio::test]
async fn closed_listener_refuses_connections_while_processes_start() {
    let started = Arc::new(AtomicUsize::new(0));
    let threads: Vec<_> = (0..SPAWNING_THREADS)
        .map(|_| spawn_processes(started.clone()))
        .collect();
    let mut accepted = 0;
    while started.load(Ordering::Relaxed) < PROCESSES {
        let server = ScriptedServer::new().await;
        let address = server.address();
        drop(server);
        match TcpStream::connect(address).await {
            Ok(_) => accepted += 1,
            Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionRefused),
        }
    }
    for thread in threads {
        thread.join().expect("processes that start and end");
    }
    assert_eq!(accepted, 0, "connections accepted by closed listeners");
}
