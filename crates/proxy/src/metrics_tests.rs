use super::*;

#[test]
fn lines_about_single_requests_are_bounded_and_the_rest_is_counted() {
    let metrics = Metrics::new();
    metrics.count(|c| c.requests += 1);
    let logged = (0..2 * MAX_LINES_PER_REASON)
        .filter(|_| metrics.may_log_request(GiveUpReason::LoadShed))
        .count();
    assert_eq!(logged, MAX_LINES_PER_REASON as usize);
    assert!(
        metrics.may_log_request(GiveUpReason::NoEligibleBackend),
        "each reason has its own limit"
    );
    assert_eq!(
        metrics.take().expect("counters").0.unlogged,
        u64::from(MAX_LINES_PER_REASON)
    );
    assert!(
        metrics.take().is_none(),
        "nothing was counted since the last call"
    );
    assert!(metrics.may_log_request(GiveUpReason::LoadShed));
}

#[test]
fn class_counters_are_separate_and_reset_when_read() {
    let metrics = Metrics::new();
    metrics.count_class(ClassId(2), |c| c.requests += 1);
    metrics.count_class(ClassId(0), |c| {
        *c.given_up.entry(GiveUpReason::LoadShed).or_default() += 2;
    });
    metrics.count_class(ClassId(2), |c| c.late += 1);
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
        metrics.take_classes(),
        [(ClassId(0), shed), (ClassId(2), late)]
    );
    assert!(metrics.take_classes().is_empty());
}
