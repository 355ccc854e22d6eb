use super::*;

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);
/// The wall clock that servers are stamped by, when the process begins.
const STAMPED: Duration = Duration::from_secs(1_700_000_000);

fn at(seconds: u64) -> Time {
    Time(0) + 24 * HOUR + Duration::from_secs(seconds)
}

fn list(
    starts: &mut StartTimes,
    now: Time,
    wall: Duration,
    stamps: &[(&str, Duration)],
) -> Vec<Option<Time>> {
    starts.hear(now, stamps.iter().map(|s| s.1));
    let started = stamps
        .iter()
        .map(|(name, stamp)| starts.started(now, wall, name, *stamp))
        .collect();
    starts.followed(stamps.len(), |_| true);
    started
}

#[test]
fn a_stamp_that_changes_is_a_start_whichever_way_it_goes() {
    for later in [
        STAMPED + HOUR,
        STAMPED.checked_sub(HOUR).unwrap(),
        STAMPED + SECOND,
        STAMPED.checked_sub(SECOND).unwrap(),
    ] {
        for wall in [STAMPED, STAMPED + HOUR, STAMPED.checked_sub(HOUR).unwrap()] {
            let mut starts = StartTimes::default();
            list(
                &mut starts,
                at(0),
                wall,
                &[("a", STAMPED), ("b", Duration::ZERO)],
            );
            let told = list(
                &mut starts,
                at(50),
                wall,
                &[("a", later), ("b", later), ("new", later)],
            );
            assert_eq!(told, [Some(at(50)); 3]);
            // The same told again is no start, whatever the clock does meanwhile.
            let told = list(
                &mut starts,
                at(90),
                wall + HOUR,
                &[("a", later), ("b", Duration::ZERO)],
            );
            assert_eq!(told, [Some(at(50)); 2]);
        }
    }
}

#[test]
fn what_is_there_at_the_beginning_is_as_young_as_any_clock_allows() {
    let stamps = [
        ("young", STAMPED.checked_sub(SECOND).unwrap()),
        ("old", STAMPED.checked_sub(10 * HOUR).unwrap()),
        ("unstamped", Duration::ZERO),
    ];
    for wall in [
        STAMPED,
        STAMPED + HOUR,
        STAMPED.checked_sub(HOUR).unwrap(),
        STAMPED + 5 * SECOND,
        STAMPED.checked_sub(5 * SECOND).unwrap(),
    ] {
        let told = list(&mut StartTimes::default(), at(100), wall, &stamps);
        assert!(told[0] >= Some(at(99)), "{wall:?}");
        assert!(
            told[1] < Some(Time(0) + 16 * HOUR) && told[1] > Some(Time(0) + 12 * HOUR),
            "{wall:?}"
        );
        assert_eq!(told[2], None);
    }
    // The clock of all went back an hour, and one server has started since.
    let told = list(
        &mut StartTimes::default(),
        at(9),
        STAMPED.checked_sub(HOUR).unwrap(),
        &[("a", STAMPED), ("b", STAMPED.checked_sub(HOUR).unwrap())],
    );
    assert_eq!(told, [Some(at(9)); 2]);
}

#[test]
fn a_server_that_is_listed_again_is_as_old_as_it_was() {
    let mut starts = StartTimes::default();
    list(
        &mut starts,
        at(0),
        STAMPED,
        &[("a", STAMPED.checked_sub(HOUR).unwrap()), ("b", STAMPED)],
    );
    list(&mut starts, at(5), STAMPED, &[("b", STAMPED)]);
    let told = list(
        &mut starts,
        at(9),
        STAMPED,
        &[("a", STAMPED.checked_sub(HOUR).unwrap())],
    );
    assert_eq!(told, [Some(Time(at(0).0 - HOUR.as_nanos() as u64))]);
}

#[test]
fn a_call_back_is_a_start_and_once() {
    let mut starts = StartTimes::default();
    list(&mut starts, at(0), STAMPED, &[("a", Duration::ZERO)]);
    let name = "a".to_owned();
    starts.hear_returned(at(7), [(&name, &3)].into_iter());
    starts.hear_returned(at(9), [(&name, &3)].into_iter());
    assert_eq!(
        list(&mut starts, at(9), STAMPED, &[("a", Duration::ZERO)]),
        [Some(at(7))]
    );
    starts.hear_returned(at(11), [(&name, &2)].into_iter());
    assert_eq!(
        list(&mut starts, at(12), STAMPED, &[("a", Duration::ZERO)]),
        [Some(at(11))]
    );
}

#[test]
fn servers_long_gone_are_forgotten() {
    let mut starts = StartTimes::default();
    for k in 0..1000 {
        let name = format!("s{k}");
        starts.started(at(k), STAMPED, &name, STAMPED);
        starts.followed(1, |listed| listed == name);
    }
    assert!(starts.known.len() <= 2 + MOST_UNLISTED);
}
