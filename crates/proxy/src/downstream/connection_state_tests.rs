use super::*;
use std::time::Duration;

#[test]
fn closing_connection_resumes_only_a_state_without_a_request() {
    let since = Instant::now();
    let closed_at = since + Duration::from_secs(1);
    let resumed = |state: ConnectionState| state.closing(closed_at).resumed();
    assert_eq!(
        resumed(ConnectionState::AwaitingFirstRequest { since }),
        Some(ConnectionState::AwaitingFirstRequest { since: closed_at })
    );
    assert_eq!(
        resumed(ConnectionState::ReadingHead { since }),
        Some(ConnectionState::ReadingHead { since: closed_at })
    );
    assert_eq!(
        resumed(ConnectionState::Idle { since }),
        Some(ConnectionState::Idle { since: closed_at })
    );
    for closed_in_any_case in [
        ConnectionState::HeadTimedOut { since },
        ConnectionState::StreamingResponse {
            last_progress: since,
        },
    ] {
        assert_eq!(resumed(closed_in_any_case), None, "{closed_in_any_case:?}");
    }
}
