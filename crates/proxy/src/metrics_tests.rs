use super::*;

#[test]
fn single_lines_are_bounded_and_the_rest_is_counted() {
    let stats = Metrics::new();
    stats.count(|c| c.requests += 1);
    let written = (0..2 * MOST_SINGLE)
        .filter(|_| stats.single(GiveUpReason::LoadShed))
        .count();
    assert_eq!(written, MOST_SINGLE as usize);
    assert!(
        stats.single(GiveUpReason::NoEligibleBackend),
        "another reason has its own"
    );
    assert_eq!(
        stats.take().expect("counters").0.suppressed,
        u64::from(MOST_SINGLE)
    );
    assert!(stats.take().is_none(), "nothing has happened since");
    assert!(stats.single(GiveUpReason::LoadShed));
}

#[test]
fn classes_are_counted_apart_and_start_again_from_zero() {
    let stats = Metrics::new();
    stats.count_class(ClassId(2), |c| c.requests += 1);
    stats.count_class(ClassId(0), |c| {
        *c.given_up.entry(GiveUpReason::LoadShed).or_default() += 2;
    });
    stats.count_class(ClassId(2), |c| c.late += 1);
    let shed = ClassCounters {
        given_up: [(GiveUpReason::LoadShed, 2)].into(),
        ..ClassCounters::default()
    };
    let late = ClassCounters {
        requests: 1,
        late: 1,
        ..ClassCounters::default()
    };
    assert_eq!(
        stats.take_classes(),
        [(ClassId(0), shed), (ClassId(2), late)]
    );
    assert!(stats.take_classes().is_empty());
}
