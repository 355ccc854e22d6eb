//! The control file as both sides see it.

use fault_injection::{Call, SharedControl};
use std::time::Duration;

#[test]
fn faults_and_pauses_are_drawn_as_told_and_counted() {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("draws");
    let control = SharedControl::create(&path).expect("a control file");
    let faults = control.faults(Call::Accept);
    assert_eq!(faults.draw(|| 0), None);
    faults.fail_next(2, &[103, 23]);
    assert_eq!(
        (faults.draw(|| 0), faults.draw(|| 1), faults.draw(|| 0)),
        (Some(103), Some(23), None)
    );
    faults.set_rate(500_000, &[4]);
    assert_eq!(
        (faults.draw(|| 499_999), faults.draw(|| 500_000)),
        (Some(4), None)
    );
    control.after_wait.pause_next(1, Duration::from_millis(150));
    let long_ago = || Duration::MAX;
    assert_eq!(
        control.after_wait.draw(|| 0, long_ago),
        Some(Duration::from_millis(150))
    );
    assert_eq!(
        (
            control.after_wait.draw(|| 0, long_ago),
            control.after_wait.begun()
        ),
        (None, 1)
    );
    let second = Duration::from_secs(1);
    control
        .after_wait
        .set_rate(1, Duration::from_millis(150), second);
    assert_eq!(control.after_wait.draw(|| 0, || second / 2), None);
    assert_eq!(control.after_wait.draw(|| 1, || second), None);
    assert!(control.after_wait.draw(|| 0, || second).is_some());
    control.step_wall_clock(-3600);
    control.quiet();
    assert_eq!((faults.draw(|| 0), faults.failed()), (None, 3));
    assert_eq!(control.wall_clock(), -3_600_000_000_000);
}
