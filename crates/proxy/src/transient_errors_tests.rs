use super::*;

fn error(number: i32) -> io::Error {
    io::Error::from_raw_os_error(number)
}

#[test]
fn only_errors_of_resources_deserve_a_pause() {
    for number in [
        libc::ECONNABORTED,
        libc::EINTR,
        libc::ENETUNREACH,
        libc::EHOSTUNREACH,
        libc::EPROTO,
    ] {
        assert!(is_one_connections(&error(number)), "{number}");
    }
    for number in [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM] {
        assert!(
            !is_one_connections(&error(number)) && is_shortage(&error(number)),
            "{number}"
        );
    }
}

#[test]
fn a_start_tries_again_only_what_may_pass() {
    let mut left = 3;
    let call = || {
        left -= 1;
        if left > 0 {
            Err(error(libc::ENFILE))
        } else {
            Ok(())
        }
    };
    assert!(retry_at_start("a call", call).is_ok());
    let mut tries = 0;
    let call = || -> io::Result<()> {
        tries += 1;
        Err(error(libc::EACCES))
    };
    assert!(retry_at_start("a call", call).is_err());
    assert_eq!(tries, 1);
}
