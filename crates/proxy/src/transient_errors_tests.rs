use super::*;

fn error(number: i32) -> io::Error {
    io::Error::from_raw_os_error(number)
}

#[test]
fn single_connection_errors_differ_from_resource_shortages() {
    for number in [
        libc::ECONNABORTED,
        libc::EINTR,
        libc::ENETUNREACH,
        libc::EHOSTUNREACH,
        libc::EPROTO,
    ] {
        assert!(is_single_connection_error(&error(number)), "{number}");
    }
    for number in [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM] {
        assert!(
            !is_single_connection_error(&error(number))
                && is_resource_shortage_or_interrupted(&error(number)),
            "{number}"
        );
    }
}

#[test]
fn start_retries_only_transient_errors() {
    let mut remaining_calls = 3;
    let call = || {
        remaining_calls -= 1;
        if remaining_calls > 0 {
            Err(error(libc::ENFILE))
        } else {
            Ok(())
        }
    };
    assert!(retry_at_start("a call", call).is_ok());
    let mut attempts = 0;
    let call = || -> io::Result<()> {
        attempts += 1;
        Err(error(libc::EACCES))
    };
    assert!(retry_at_start("a call", call).is_err());
    assert_eq!(attempts, 1);
}
