use super::super::file_lock::try_lock;
use super::*;

/// An empty folder for one test.
struct TestFolder(PathBuf);

impl std::ops::Deref for TestFolder {
    type Target = PathBuf;
    fn deref(&self) -> &PathBuf {
        &self.0
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn test_folder(name: &str) -> TestFolder {
    let path = std::env::temp_dir().join(format!("balancer-proxy-{}-{name}", std::process::id()));
    fs::create_dir_all(&path).expect("a folder");
    TestFolder(path)
}

fn open(folder: &Path) -> OperatorStateStore {
    let (store, problem) = OperatorStateStore::open(Some(folder.to_owned()), "n");
    assert!(problem.is_none(), "{problem:?}");
    store
}

#[tokio::test]
async fn change_is_seen_by_the_peer_process_and_the_next_one() {
    let folder = test_folder("peer");
    let (old, new) = (open(&folder), open(&folder));
    old.change(|state| state.in_maintenance.insert("a".into()))
        .await
        .expect("a change");
    assert!(new.refresh().expect("a refresh"));
    assert!(
        !new.refresh().expect("a refresh"),
        "nothing has changed since"
    );
    // The other process has not read the file since: its change builds on it all the same.
    new.change(|state| state.draining = true)
        .await
        .expect("a change");
    old.change(|state| state.in_maintenance.insert("b".into()))
        .await
        .expect("a change");
    let third = open(&folder);
    assert!(third.state().draining);
    assert_eq!(
        third.state().in_maintenance.iter().collect::<Vec<_>>(),
        ["a", "b"]
    );
    assert!(!folder.join(NEW_STATE_FILE).exists());
}

#[tokio::test]
async fn unusable_file_counts_as_empty_and_is_replaced() {
    let folder = test_folder("unusable");
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
        fs::write(folder.join(STATE_FILE), text).expect("a file");
        let (store, problem) = OperatorStateStore::open(Some(folder.to_owned()), "n");
        assert!(problem.is_some(), "{text}");
        assert_eq!(*store.state(), OperatorState::default(), "{text}");
        store
            .change(|state| state.in_maintenance.insert("b".into()))
            .await
            .expect("a change");
        assert_eq!(
            open(&folder)
                .state()
                .in_maintenance
                .iter()
                .collect::<Vec<_>>(),
            ["b"]
        );
    }
    fs::write(folder.join(STATE_FILE), valid).expect("a file");
    assert!(open(&folder).state().draining);
}

#[tokio::test(start_paused = true)]
async fn lock_that_is_never_released_ends_the_change() {
    let folder = test_folder("lock");
    let store = open(&folder);
    let _lock = try_lock(&folder.join(LOCK_FILE)).expect("the lock");
    assert!(matches!(
        store.change(|state| state.draining = true).await,
        Err(StoreError::Locked)
    ));
    assert!(!store.state().draining);
}

#[test]
fn processes_see_each_other_while_they_run() {
    let folder = test_folder("presence");
    let old = open(&folder);
    assert!(!old.peer_process_running());
    let new = open(&folder);
    assert!(new.peer_process_running() && old.peer_process_running());
    let third = open(&folder);
    assert!(third.peer_process_running());
    drop(old);
    assert!(third.peer_process_running() && new.peer_process_running());
    drop(third);
    assert!(!new.peer_process_running());
}

/// Written by an older version of the program, which may run beside this one during an upgrade.
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
    let folder = test_folder("older-version-read");
    fs::write(folder.join("birchswitch.json"), STORED_BY_AN_OLDER_VERSION).expect("a file");
    assert_eq!(*open(&folder).state(), state_of_the_older_version());
}

#[tokio::test]
async fn file_is_written_byte_for_byte_as_by_an_older_version() {
    let folder = test_folder("older-version-written");
    open(&folder)
        .change(|state| *state = state_of_the_older_version())
        .await
        .expect("a change");
    let written = fs::read_to_string(folder.join("birchswitch.json")).expect("a file");
    assert_eq!(written, STORED_BY_AN_OLDER_VERSION);
    assert!(folder.join("birchswitch.lock").exists());
}
