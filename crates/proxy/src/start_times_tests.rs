use super::*;

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);
/// What the wall clock that timestamps are taken from shows when the process begins.
const LIST_TIMESTAMP: Duration = Duration::from_secs(1_700_000_000);

fn at(seconds: u64) -> Time {
    Time(0) + 24 * HOUR + Duration::from_secs(seconds)
}

fn apply_list(
    starts: &mut StartTimes,
    now: Time,
    wall: Duration,
    endpoints: &[(&str, Duration)],
) -> Vec<Option<Time>> {
    starts.observe_timestamps(now, endpoints.iter().map(|(_, timestamp)| *timestamp));
    let started = endpoints
        .iter()
        .map(|(name, timestamp)| starts.start_of(now, wall, name, *timestamp).latest)
        .collect();
    starts.list_applied(endpoints.len(), |_| true);
    started
}

#[test]
fn changed_timestamp_is_a_start_whichever_way_it_changes() {
    for later in [
        LIST_TIMESTAMP + HOUR,
        LIST_TIMESTAMP.checked_sub(HOUR).unwrap(),
        LIST_TIMESTAMP + SECOND,
        LIST_TIMESTAMP.checked_sub(SECOND).unwrap(),
    ] {
        for wall in [
            LIST_TIMESTAMP,
            LIST_TIMESTAMP + HOUR,
            LIST_TIMESTAMP.checked_sub(HOUR).unwrap(),
        ] {
            let mut starts = StartTimes::default();
            apply_list(
                &mut starts,
                at(0),
                wall,
                &[("a", LIST_TIMESTAMP), ("b", Duration::ZERO)],
            );
            let started = apply_list(
                &mut starts,
                at(50),
                wall,
                &[("a", later), ("b", later), ("new", later)],
            );
            assert_eq!(started, [Some(at(50)); 3]);
            // The same timestamp again, or none, means no start, even if the clock was stepped
            // meanwhile.
            let started = apply_list(
                &mut starts,
                at(90),
                wall + HOUR,
                &[("a", later), ("b", Duration::ZERO)],
            );
            assert_eq!(started, [Some(at(50)); 2]);
        }
    }
}

#[test]
fn first_list_gives_the_lowest_age_that_any_clock_allows() {
    let endpoints = [
        ("young", LIST_TIMESTAMP.checked_sub(SECOND).unwrap()),
        ("old", LIST_TIMESTAMP.checked_sub(10 * HOUR).unwrap()),
        ("without-timestamp", Duration::ZERO),
    ];
    for wall in [
        LIST_TIMESTAMP,
        LIST_TIMESTAMP + HOUR,
        LIST_TIMESTAMP.checked_sub(HOUR).unwrap(),
        LIST_TIMESTAMP + 5 * SECOND,
        LIST_TIMESTAMP.checked_sub(5 * SECOND).unwrap(),
    ] {
        let started = apply_list(&mut StartTimes::default(), at(100), wall, &endpoints);
        assert!(started[0] >= Some(at(99)), "{wall:?}");
        assert!(
            started[1] < Some(Time(0) + 16 * HOUR) && started[1] > Some(Time(0) + 12 * HOUR),
            "{wall:?}"
        );
        assert_eq!(started[2], None);
    }
    // The clock of every machine was set back by an hour, and one backend has started since then.
    let started = apply_list(
        &mut StartTimes::default(),
        at(9),
        LIST_TIMESTAMP.checked_sub(HOUR).unwrap(),
        &[
            ("a", LIST_TIMESTAMP),
            ("b", LIST_TIMESTAMP.checked_sub(HOUR).unwrap()),
        ],
    );
    assert_eq!(started, [Some(at(9)); 2]);
}

/// The likely start is taken from this machine's clock, unless that is certainly wrong.
#[test]
fn likely_start_is_taken_from_the_wall_clock() {
    let start_at = |wall: Duration| {
        let mut starts = StartTimes::default();
        starts.observe_timestamps(at(0), [LIST_TIMESTAMP].into_iter());
        starts.start_of(at(0), wall, "a", LIST_TIMESTAMP)
    };
    let start = start_at(LIST_TIMESTAMP + 10 * SECOND);
    assert_eq!(start.latest, Some(at(0)));
    assert_eq!(start.likely, Some(Time(at(0).0 - 10_000_000_000)));
    let start = start_at(LIST_TIMESTAMP.checked_sub(SECOND).unwrap());
    assert_eq!((start.latest, start.likely), (Some(at(0)), None));
    let start = start_at(LIST_TIMESTAMP + 2 * HOUR);
    assert_eq!(start.latest, Some(Time(at(0).0 - HOUR.as_nanos() as u64)));
}

#[test]
fn observed_start_is_certain() {
    let mut starts = StartTimes::default();
    apply_list(&mut starts, at(0), LIST_TIMESTAMP, &[("a", LIST_TIMESTAMP)]);
    let restarted = starts.start_of(at(9), LIST_TIMESTAMP + HOUR, "a", LIST_TIMESTAMP + SECOND);
    assert_eq!(restarted, BackendStart::observed(at(9)));
}

#[test]
fn backend_that_is_listed_again_keeps_its_start() {
    let mut starts = StartTimes::default();
    apply_list(
        &mut starts,
        at(0),
        LIST_TIMESTAMP,
        &[
            ("a", LIST_TIMESTAMP.checked_sub(HOUR).unwrap()),
            ("b", LIST_TIMESTAMP),
        ],
    );
    apply_list(&mut starts, at(5), LIST_TIMESTAMP, &[("b", LIST_TIMESTAMP)]);
    let started = apply_list(
        &mut starts,
        at(9),
        LIST_TIMESTAMP,
        &[("a", LIST_TIMESTAMP.checked_sub(HOUR).unwrap())],
    );
    assert_eq!(started, [Some(Time(at(0).0 - HOUR.as_nanos() as u64))]);
}

#[test]
fn return_from_maintenance_is_a_start_once() {
    let mut starts = StartTimes::default();
    apply_list(&mut starts, at(0), LIST_TIMESTAMP, &[("a", Duration::ZERO)]);
    let name = "a".to_owned();
    starts.observe_returned(at(7), [(&name, &3)].into_iter());
    starts.observe_returned(at(9), [(&name, &3)].into_iter());
    assert_eq!(
        apply_list(&mut starts, at(9), LIST_TIMESTAMP, &[("a", Duration::ZERO)]),
        [Some(at(7))]
    );
    starts.observe_returned(at(11), [(&name, &2)].into_iter());
    assert_eq!(
        apply_list(
            &mut starts,
            at(12),
            LIST_TIMESTAMP,
            &[("a", Duration::ZERO)]
        ),
        [Some(at(11))]
    );
}

#[test]
fn starts_of_long_removed_backends_are_dropped() {
    let mut starts = StartTimes::default();
    for k in 0..1000 {
        let name = format!("s{k}");
        starts.start_of(at(k), LIST_TIMESTAMP, &name, LIST_TIMESTAMP);
        starts.list_applied(1, |listed| listed == name);
    }
    assert!(starts.listed.len() <= 2 + MAX_UNLISTED);
}
