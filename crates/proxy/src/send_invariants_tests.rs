use super::*;

const PRIOR_BACKEND: BackendKeyScopes = BackendKeyScopes {
    zone: ZoneId(0),
    cell: CellId(1),
};
const OTHER_CELL: BackendKeyScopes = BackendKeyScopes {
    zone: ZoneId(0),
    cell: CellId(2),
};
const OTHER_ZONE: BackendKeyScopes = BackendKeyScopes {
    zone: ZoneId(1),
    cell: CellId(3),
};
const MAYBE_EXECUTED: PriorAttempt = PriorAttempt {
    backend: PRIOR_BACKEND,
    execution: Execution::Possible,
};
const IN_FLIGHT: PriorAttempt = PriorAttempt {
    backend: PRIOR_BACKEND,
    execution: Execution::InFlight,
};
const NEVER_EXECUTED: PriorAttempt = PriorAttempt {
    backend: PRIOR_BACKEND,
    execution: Execution::Never,
};

fn keyed(scope: KeyScope) -> Idempotency {
    Idempotency::Keyed {
        scope,
        window: Duration::from_secs(1),
    }
}

#[test]
fn each_condition_that_changes_while_connecting_prevents_the_attempt() {
    let now = Instant::now();
    let later = now + Duration::from_millis(1);
    let sendable = SendConditions {
        backend_accepts: true,
        client_waiting: true,
        deadline: Some(later),
        timeout_computed_at: Some(now),
        retry_until: Some(later),
    };
    assert_eq!(may_send(now, &sendable), Ok(()));
    assert_eq!(
        may_send(
            now,
            &SendConditions {
                backend_accepts: false,
                ..sendable
            }
        ),
        Err(Invariant::Drain)
    );
    assert_eq!(
        may_send(
            now,
            &SendConditions {
                client_waiting: false,
                ..sendable
            }
        ),
        Err(Invariant::RequestClosed)
    );
    assert_eq!(
        may_send(
            now,
            &SendConditions {
                deadline: Some(now),
                ..sendable
            }
        ),
        Err(Invariant::Deadline)
    );
    assert_eq!(
        may_send(
            now,
            &SendConditions {
                retry_until: Some(now),
                ..sendable
            }
        ),
        Err(Invariant::IdempotencyWindow)
    );
    let outdated = now + MAX_STATED_TIMEOUT_AGE + Duration::from_millis(1);
    let without_deadline = SendConditions {
        deadline: None,
        retry_until: None,
        ..sendable
    };
    assert_eq!(
        may_send(outdated, &without_deadline),
        Err(Invariant::Deadline)
    );
    assert_eq!(
        may_send(
            outdated,
            &SendConditions {
                timeout_computed_at: None,
                ..without_deadline
            }
        ),
        Ok(())
    );
}

#[test]
fn a_retry_goes_only_where_its_class_allows() {
    for idempotency in [
        Idempotency::Idempotent,
        keyed(KeyScope::All),
        keyed(KeyScope::Zone),
        keyed(KeyScope::Cell),
        Idempotency::NonIdempotent,
    ] {
        assert_eq!(may_retry(idempotency, false, OTHER_ZONE, &[]), Ok(()));
        assert_eq!(
            may_retry(
                idempotency,
                false,
                OTHER_ZONE,
                &[NEVER_EXECUTED, NEVER_EXECUTED]
            ),
            Ok(())
        );
        assert_eq!(
            may_retry(idempotency, false, PRIOR_BACKEND, &[IN_FLIGHT]),
            Err(Invariant::Hedging)
        );
    }
    let retry_at =
        |idempotency, to| may_retry(idempotency, true, to, &[NEVER_EXECUTED, MAYBE_EXECUTED]);
    assert_eq!(retry_at(Idempotency::Idempotent, OTHER_ZONE), Ok(()));
    assert_eq!(
        retry_at(Idempotency::NonIdempotent, PRIOR_BACKEND),
        Err(Invariant::Idempotency)
    );
    assert_eq!(retry_at(keyed(KeyScope::All), OTHER_ZONE), Ok(()));
    assert_eq!(
        (
            retry_at(keyed(KeyScope::Zone), OTHER_CELL),
            retry_at(keyed(KeyScope::Cell), PRIOR_BACKEND)
        ),
        (Ok(()), Ok(()))
    );
    assert_eq!(
        retry_at(keyed(KeyScope::Zone), OTHER_ZONE),
        Err(Invariant::Idempotency)
    );
    assert_eq!(
        retry_at(keyed(KeyScope::Cell), OTHER_CELL),
        Err(Invariant::Idempotency)
    );
    assert_eq!(
        may_retry(
            Idempotency::NonIdempotent,
            true,
            PRIOR_BACKEND,
            &[IN_FLIGHT]
        ),
        Err(Invariant::Idempotency)
    );
}

#[test]
fn counts_are_written_once() {
    let counts = InvariantCounts::default();
    counts.prevented(Invariant::Drain);
    counts.prevented(Invariant::Drain);
    counts.violated(Invariant::Idempotency);
    let mut line = String::new();
    counts.write_to(&mut line).expect("a line");
    counts.write_to(&mut line).expect("a line");
    assert_eq!(line, " prevented_Drain=2 violations_Idempotency=1");
}

#[test]
fn connections_and_the_process_end_only_with_nothing_open() {
    assert_eq!(
        (may_close(false, false), may_close(true, false)),
        (Ok(()), Err(Invariant::ConnectionClose))
    );
    assert_eq!(
        (may_close(false, true), may_exit(0), may_exit(1)),
        (
            Err(Invariant::ConnectionClose),
            Ok(()),
            Err(Invariant::ProcessExit)
        )
    );
}
