use super::*;

const HERE: BackendIdentity = BackendIdentity {
    zone: ZoneId(0),
    cell: CellId(1),
};
const SAME_ZONE: BackendIdentity = BackendIdentity {
    zone: ZoneId(0),
    cell: CellId(2),
};
const ELSEWHERE: BackendIdentity = BackendIdentity {
    zone: ZoneId(1),
    cell: CellId(3),
};
const EXECUTED: PriorAttempt = PriorAttempt {
    backend: HERE,
    execution: Execution::Possible,
};
const IN_FLIGHT: PriorAttempt = PriorAttempt {
    backend: HERE,
    execution: Execution::InFlight,
};
const NEVER_EXECUTED: PriorAttempt = PriorAttempt {
    backend: HERE,
    execution: Execution::Never,
};

fn keyed(scope: KeyScope) -> Idempotency {
    Idempotency::Keyed {
        scope,
        window: Duration::from_secs(1),
    }
}

#[test]
fn each_fact_that_changes_while_connecting_prevents_the_attempt() {
    let now = Instant::now();
    let later = now + Duration::from_millis(1);
    let fine = AttemptFacts {
        backend_accepts: true,
        client_waiting: true,
        deadline: Some(later),
        timeout_computed_at: Some(now),
        retry_until: Some(later),
    };
    assert_eq!(may_send(now, &fine), Ok(()));
    assert_eq!(
        may_send(
            now,
            &AttemptFacts {
                backend_accepts: false,
                ..fine
            }
        ),
        Err(Invariant::Drain)
    );
    assert_eq!(
        may_send(
            now,
            &AttemptFacts {
                client_waiting: false,
                ..fine
            }
        ),
        Err(Invariant::RequestClosed)
    );
    assert_eq!(
        may_send(
            now,
            &AttemptFacts {
                deadline: Some(now),
                ..fine
            }
        ),
        Err(Invariant::Deadline)
    );
    assert_eq!(
        may_send(
            now,
            &AttemptFacts {
                retry_until: Some(now),
                ..fine
            }
        ),
        Err(Invariant::IdempotencyWindow)
    );
    let outdated = now + MAX_STATED_TIMEOUT_AGE + Duration::from_millis(1);
    let long = AttemptFacts {
        deadline: None,
        retry_until: None,
        ..fine
    };
    assert_eq!(may_send(outdated, &long), Err(Invariant::Deadline));
    assert_eq!(
        may_send(
            outdated,
            &AttemptFacts {
                timeout_computed_at: None,
                ..long
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
        assert_eq!(may_retry(idempotency, false, ELSEWHERE, &[]), Ok(()));
        assert_eq!(
            may_retry(
                idempotency,
                false,
                ELSEWHERE,
                &[NEVER_EXECUTED, NEVER_EXECUTED]
            ),
            Ok(())
        );
        assert_eq!(
            may_retry(idempotency, false, HERE, &[IN_FLIGHT]),
            Err(Invariant::Hedging)
        );
    }
    let retry_at = |idempotency, to| may_retry(idempotency, true, to, &[NEVER_EXECUTED, EXECUTED]);
    assert_eq!(retry_at(Idempotency::Idempotent, ELSEWHERE), Ok(()));
    assert_eq!(
        retry_at(Idempotency::NonIdempotent, HERE),
        Err(Invariant::Idempotency)
    );
    assert_eq!(retry_at(keyed(KeyScope::All), ELSEWHERE), Ok(()));
    assert_eq!(
        (
            retry_at(keyed(KeyScope::Zone), SAME_ZONE),
            retry_at(keyed(KeyScope::Cell), HERE)
        ),
        (Ok(()), Ok(()))
    );
    assert_eq!(
        retry_at(keyed(KeyScope::Zone), ELSEWHERE),
        Err(Invariant::Idempotency)
    );
    assert_eq!(
        retry_at(keyed(KeyScope::Cell), SAME_ZONE),
        Err(Invariant::Idempotency)
    );
    assert_eq!(
        may_retry(Idempotency::NonIdempotent, true, HERE, &[IN_FLIGHT]),
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
