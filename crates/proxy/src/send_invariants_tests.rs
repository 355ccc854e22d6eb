use super::*;

const HERE: BackendIdentity = BackendIdentity { zone: 0, cell: 1 };
const SAME_ZONE: BackendIdentity = BackendIdentity { zone: 0, cell: 2 };
const ELSEWHERE: BackendIdentity = BackendIdentity { zone: 1, cell: 3 };
const RAN: PriorAttempt = PriorAttempt {
    place: HERE,
    out: false,
    may_have_run: true,
};
const OUT: PriorAttempt = PriorAttempt {
    place: HERE,
    out: true,
    may_have_run: true,
};
const NEVER_RAN: PriorAttempt = PriorAttempt {
    place: HERE,
    out: false,
    may_have_run: false,
};

fn keyed(group: KeyScope) -> Idempotency {
    Idempotency::Keyed {
        scope: group,
        window: Duration::from_secs(1),
    }
}

#[test]
fn each_fact_that_changes_while_connecting_holds_an_attempt_back() {
    let now = Instant::now();
    let later = now + Duration::from_millis(1);
    let fine = AttemptFacts {
        server_takes_new: true,
        client_waits: true,
        until: Some(later),
        told: Some(now),
        repeat_by: Some(later),
    };
    assert_eq!(may_begin(now, &fine), Ok(()));
    assert_eq!(
        may_begin(
            now,
            &AttemptFacts {
                server_takes_new: false,
                ..fine
            }
        ),
        Err(Invariant::Drain)
    );
    assert_eq!(
        may_begin(
            now,
            &AttemptFacts {
                client_waits: false,
                ..fine
            }
        ),
        Err(Invariant::Answered)
    );
    assert_eq!(
        may_begin(
            now,
            &AttemptFacts {
                until: Some(now),
                ..fine
            }
        ),
        Err(Invariant::Deadline)
    );
    assert_eq!(
        may_begin(
            now,
            &AttemptFacts {
                repeat_by: Some(now),
                ..fine
            }
        ),
        Err(Invariant::Window)
    );
    let held_up = now + TOLD_IN_TIME + Duration::from_millis(1);
    let long = AttemptFacts {
        until: None,
        repeat_by: None,
        ..fine
    };
    assert_eq!(may_begin(held_up, &long), Err(Invariant::Deadline));
    assert_eq!(
        may_begin(held_up, &AttemptFacts { told: None, ..long }),
        Ok(())
    );
}

#[test]
fn a_repeat_goes_where_the_class_allows() {
    for effect in [
        Idempotency::Idempotent,
        keyed(KeyScope::All),
        keyed(KeyScope::Zone),
        keyed(KeyScope::Cell),
        Idempotency::NonIdempotent,
    ] {
        assert_eq!(may_repeat(effect, false, ELSEWHERE, &[]), Ok(()));
        assert_eq!(
            may_repeat(effect, false, ELSEWHERE, &[NEVER_RAN, NEVER_RAN]),
            Ok(())
        );
        assert_eq!(
            may_repeat(effect, false, HERE, &[OUT]),
            Err(Invariant::SecondCopy)
        );
    }
    let may = |effect, to| may_repeat(effect, true, to, &[NEVER_RAN, RAN]);
    assert_eq!(may(Idempotency::Idempotent, ELSEWHERE), Ok(()));
    assert_eq!(
        may(Idempotency::NonIdempotent, HERE),
        Err(Invariant::Repeat)
    );
    assert_eq!(may(keyed(KeyScope::All), ELSEWHERE), Ok(()));
    assert_eq!(
        (
            may(keyed(KeyScope::Zone), SAME_ZONE),
            may(keyed(KeyScope::Cell), HERE)
        ),
        (Ok(()), Ok(()))
    );
    assert_eq!(
        may(keyed(KeyScope::Zone), ELSEWHERE),
        Err(Invariant::Repeat)
    );
    assert_eq!(
        may(keyed(KeyScope::Cell), SAME_ZONE),
        Err(Invariant::Repeat)
    );
    assert_eq!(
        may_repeat(Idempotency::NonIdempotent, true, HERE, &[OUT]),
        Err(Invariant::Repeat)
    );
}

#[test]
fn counts_are_written_once() {
    let counts = InvariantCounts::default();
    counts.withheld(Invariant::Drain);
    counts.withheld(Invariant::Drain);
    counts.violated(Invariant::Repeat);
    let mut line = String::new();
    counts.write_to(&mut line).expect("a line");
    counts.write_to(&mut line).expect("a line");
    assert_eq!(line, " withheld_Drain=2 violations_Repeat=1");
    assert_eq!(
        (may_close(false, false), may_close(true, false)),
        (Ok(()), Err(Invariant::Close))
    );
    assert_eq!(
        (may_close(false, true), may_end(0), may_end(1)),
        (Err(Invariant::Close), Ok(()), Err(Invariant::End))
    );
}
