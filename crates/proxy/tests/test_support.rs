//! Tests of the support code in `common` that the other tests rely on.

mod common;
use common::*;
use std::io::ErrorKind;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio::net::TcpStream;

/// Number of threads that spawn processes at the same time.
const SPAWNING_THREADS: usize = 4;
/// Number of processes that are spawned while listeners are closed.
const PROCESSES: usize = 2000;

/// Starts a thread that spawns one short-lived process after another until `started`, which all
/// threads increment, has reached [`PROCESSES`].
fn spawn_processes(started: Arc<AtomicUsize>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        while started.fetch_add(1, Ordering::Relaxed) < PROCESSES {
            let spawn = || Command::new("true").spawn();
            let mut child = spawn_locked(spawn, |child: &Child| Some(child.id()))
                .expect("true could not be spawned");
            child.wait().expect("the exit status of true");
        }
    })
}

/// A child process that still holds a copy of a listener's descriptor would keep it open, and
/// accept connections to it, after the test has closed it.
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
        thread.join().expect("spawning a process failed");
    }
    assert_eq!(accepted, 0, "connections accepted by closed listeners");
}
