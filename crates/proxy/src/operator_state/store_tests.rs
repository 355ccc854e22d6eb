use super::super::file_lock::try_lock;
use super::*;

/// An empty directory for one test, removed when the test ends.
struct TestDirectory(PathBuf);

impl std::ops::Deref for TestDirectory {
    type Target = PathBuf;
    fn deref(&self) -> &PathBuf {
        &self.0
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn test_directory(name: &str) -> TestDirectory {
    let path = std::env::temp_dir().join(format!("balancer-proxy-{}-{name}", std::process::id()));
    fs::create_dir_all(&path).expect("a test directory");
    TestDirectory(path)
}

fn open(directory: &Path) -> OperatorStateStore {
    let (store, load_error) = OperatorStateStore::open(Some(directory.to_owned()), "n");
    assert!(load_error.is_none(), "{load_error:?}");
    store
}

#[tokio::test]
async fn change_is_seen_by_the_peer_process_and_the_next_one() {
    let directory = test_directory("peer");
    let (old, new) = (open(&directory), open(&directory));
    old.change(|state| state.in_maintenance.insert("a".into()))
        .await
        .expect("a change");
    assert!(new.refresh().expect("a refresh"));
    assert!(
        !new.refresh().expect("a refresh"),
        "nothing has changed since"
    );
    // The old process has not read the file since, and yet its change applies to the latest state.
    new.change(|state| state.draining = true)
        .await
        .expect("a change");
    old.change(|state| state.in_maintenance.insert("b".into()))
        .await
        .expect("a change");
    let third = open(&directory);
    assert!(third.state().draining);
    assert_eq!(
        third.state().in_maintenance.iter().collect::<Vec<_>>(),
        ["a", "b"]
    );
    assert!(!directory.join(NEW_STATE_FILE).exists());
}

#[tokio::test]
async fn unusable_file_counts_as_empty_and_is_replaced() {
    let directory = test_directory("unusable");
    let valid = r#"{"version":1,"node":"n","word":{"draining":true,"out":["a"],"returned":{}}}"#;
    let unusable = [
        "",
        &valid[..30],
        "[]",
        &valid.replace("\"version\":1", "\"version\":2"),
        &valid.replace("\"n\"", "\"m\""),
        &valid.replace("true", "1"),
        &valid.replace("\"out\"", "\"in\""),
    ];
    for text in unusable {
        fs::write(directory.join(STATE_FILE), text).expect("a file");
        let (store, load_error) = OperatorStateStore::open(Some(directory.to_owned()), "n");
        assert!(load_error.is_some(), "{text}");
        assert_eq!(*store.state(), OperatorState::default(), "{text}");
        store
            .change(|state| state.in_maintenance.insert("b".into()))
            .await
            .expect("a change");
        assert_eq!(
            open(&directory)
                .state()
                .in_maintenance
                .iter()
                .collect::<Vec<_>>(),
            ["b"]
        );
    }
    fs::write(directory.join(STATE_FILE), valid).expect("a file");
    assert!(open(&directory).state().draining);
}

#[tokio::test(start_paused = true)]
async fn lock_that_is_never_released_ends_the_change() {
    let directory = test_directory("lock");
    let store = open(&directory);
    let _lock = try_lock(&directory.join(LOCK_FILE)).expect("the lock");
    assert!(matches!(
        store.change(|state| state.draining = true).await,
        Err(StoreError::Locked)
    ));
    assert!(!store.state().draining);
}

#[test]
fn processes_see_each_other_while_they_run() {
    let directory = test_directory("presence");
    let old = open(&directory);
    assert!(!old.peer_process_running());
    let new = open(&directory);
    assert!(new.peer_process_running() && old.peer_process_running());
    let third = open(&directory);
    assert!(third.peer_process_running());
    drop(old);
    assert!(third.peer_process_running() && new.peer_process_running());
    drop(third);
    assert!(!new.peer_process_running());
}

/// A state file as written by an older version of the program, which may run at the same time as
/// this version during an upgrade.
const STORED_BY_AN_OLDER_VERSION: &str = r#"{"version":1,"node":"n","word":{"draining":true,"out":["a","c"],"returned":{"b":1796285865475}}}"#;

fn state_of_the_older_version() -> OperatorState {
    OperatorState {
        draining: true,
        in_maintenance: ["a", "c"].map(String::from).into(),
        returned_from_maintenance: [("b".to_owned(), 1_796_285_865_475)].into(),
    }
}

#[test]
fn file_of_an_older_version_is_read() {
    let directory = test_directory("older-version-read");
    fs::write(
        directory.join("birchswitch.json"),
        STORED_BY_AN_OLDER_VERSION,
    )
    .expect("a file");
    assert_eq!(*open(&directory).state(), state_of_the_older_version());
}

#[tokio::test]
async fn file_is_written_byte_for_byte_as_by_an_older_version() {
    let directory = test_directory("older-version-written");
    open(&directory)
        .change(|state| *state = state_of_the_older_version())
        .await
        .expect("a change");
    let written = fs::read_to_string(directory.join("birchswitch.json")).expect("a file");
    assert_eq!(written, STORED_BY_AN_OLDER_VERSION);
    assert!(directory.join("birchswitch.lock").exists());
}
