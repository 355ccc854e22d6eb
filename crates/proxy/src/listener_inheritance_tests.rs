use super::*;
use std::fs::File;
use std::os::fd::{AsRawFd, IntoRawFd};

#[test]
fn only_a_listener_on_the_configured_address_is_inherited() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let number = |fd: RawFd| fd.to_string();
    let other_address = SocketAddr::new(address.ip(), address.port() ^ 1);
    let (kept, other) = (
        number(listener.as_raw_fd()),
        listener.try_clone().expect("a copy"),
    );
    assert!(matches!(
        inherit_listener(&kept, other_address),
        Err(InheritError::OtherAddress(..))
    ));
    let client =
        std::net::TcpStream::connect(address).expect("a connection: the listener is still open");
    assert!(matches!(
        inherit_listener(&number(client.as_raw_fd()), address),
        Err(InheritError::NotListening(_))
    ));
    let file = File::open("/dev/null").expect("a file");
    assert!(matches!(
        inherit_listener(&number(file.as_raw_fd()), address),
        Err(InheritError::NotSocket(..))
    ));
    assert!(matches!(
        inherit_listener("1000000", address),
        Err(InheritError::NotSocket(..))
    ));
    for invalid in ["", "x", "-1", "0", "2", "99999999999"] {
        assert!(
            matches!(
                inherit_listener(invalid, address),
                Err(InheritError::InvalidNumber(_))
            ),
            "{invalid}"
        );
    }
    let inherited = inherit_listener(&number(other.into_raw_fd()), address).expect("the listener");
    assert_eq!(inherited.local_addr().expect("an address"), address);
}
