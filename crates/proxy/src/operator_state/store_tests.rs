use super::*;
use std::os::fd::{AsRawFd, IntoRawFd};

/// An empty folder of a test's own.
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

fn place(name: &str) -> TestFolder {
    let place = std::env::temp_dir().join(format!("balancer-proxy-{}-{name}", std::process::id()));
    fs::create_dir_all(&place).expect("a folder");
    TestFolder(place)
}

fn open(place: &Path) -> OperatorStateStore {
    let (keeper, problem) = OperatorStateStore::open(Some(place.to_owned()), "n");
    assert!(problem.is_none(), "{problem:?}");
    keeper
}

#[tokio::test]
async fn a_word_binds_the_process_beside_and_the_one_after() {
    let place = place("word");
    let (old, new) = (open(&place), open(&place));
    old.change(|w| w.out.insert("a".into()))
        .await
        .expect("a change");
    assert!(new.look().expect("a look"));
    assert!(!new.look().expect("a look"), "nothing has changed since");
    // The other has not looked since: what it changes builds on what was written all the same.
    new.change(|w| w.draining = true).await.expect("a change");
    old.change(|w| w.out.insert("b".into()))
        .await
        .expect("a change");
    let third = open(&place);
    assert!(third.word().draining);
    assert_eq!(third.word().out.iter().collect::<Vec<_>>(), ["a", "b"]);
    assert!(!place.join(NEXT).exists());
}

#[tokio::test]
async fn a_file_that_is_no_good_is_empty_and_is_replaced() {
    let place = place("spoilt");
    let whole = r#"{"version":1,"node":"n","word":{"draining":true,"out":["a"],"returned":{}}}"#;
    let spoilt = [
        "",
        &whole[..30],
        "[]",
        &whole.replace("\"version\":1", "\"version\":2"),
        &whole.replace("\"n\"", "\"m\""),
        &whole.replace("true", "1"),
        &whole.replace("\"out\"", "\"in\""),
    ];
    for text in spoilt {
        fs::write(place.join(KEPT), text).expect("a file");
        let (keeper, problem) = OperatorStateStore::open(Some(place.to_owned()), "n");
        assert!(problem.is_some(), "{text}");
        assert_eq!(*keeper.word(), OperatorState::default(), "{text}");
        keeper
            .change(|w| w.out.insert("b".into()))
            .await
            .expect("a change");
        assert_eq!(open(&place).word().out.iter().collect::<Vec<_>>(), ["b"]);
    }
    fs::write(place.join(KEPT), whole).expect("a file");
    assert!(open(&place).word().draining);
}

#[tokio::test(start_paused = true)]
async fn a_lock_that_is_never_let_go_is_no_hang() {
    let place = place("lock");
    let keeper = open(&place);
    let _held = hold(&place.join(LOCK)).expect("the lock");
    assert!(matches!(
        keeper.change(|w| w.draining = true).await,
        Err(StoreError::Held)
    ));
    assert!(!keeper.word().draining);
}

#[test]
fn processes_see_each_other_while_they_live() {
    let place = place("presence");
    let old = open(&place);
    assert!(!old.accompanied());
    let new = open(&place);
    assert!(new.accompanied() && old.accompanied());
    let third = open(&place);
    assert!(third.accompanied());
    drop(old);
    assert!(third.accompanied() && new.accompanied());
    drop(third);
    assert!(!new.accompanied());
}

#[test]
fn only_the_listener_that_was_meant_is_adopted() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let number = |fd: RawFd| fd.to_string();
    let elsewhere = SocketAddr::new(address.ip(), address.port() ^ 1);
    let (kept, other) = (
        number(listener.as_raw_fd()),
        listener.try_clone().expect("a copy"),
    );
    assert!(matches!(
        adopt(&kept, elsewhere),
        Err(AdoptError::Elsewhere(..))
    ));
    let client = std::net::TcpStream::connect(address).expect("a connection: it is open still");
    assert!(matches!(
        adopt(&number(client.as_raw_fd()), address),
        Err(AdoptError::Deaf(_))
    ));
    let file = File::open("/dev/null").expect("a file");
    assert!(matches!(
        adopt(&number(file.as_raw_fd()), address),
        Err(AdoptError::NoSocket(..))
    ));
    assert!(matches!(
        adopt("1000000", address),
        Err(AdoptError::NoSocket(..))
    ));
    for senseless in ["", "x", "-1", "0", "2", "99999999999"] {
        assert!(
            matches!(adopt(senseless, address), Err(AdoptError::Number(_))),
            "{senseless}"
        );
    }
    let adopted = adopt(&number(other.into_raw_fd()), address).expect("the listener");
    assert_eq!(adopted.local_addr().expect("an address"), address);
}
