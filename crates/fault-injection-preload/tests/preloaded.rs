//! The shim in a process that knows nothing of it.

use fault_injection::{Call, SharedControl, VARIABLE};
use std::path::{Path, PathBuf};
use std::process::Command;

/// The library, which stands beside the tests.
fn shim() -> PathBuf {
    let this = std::env::current_exe().expect("this program");
    let folder = this.parent().expect("a folder of programs");
    folder.join("libfault_injection_preload.so")
}

fn date(control: &Path) -> i64 {
    let told = Command::new("date")
        .arg("+%s")
        .env("LD_PRELOAD", shim())
        .env(VARIABLE, control)
        .output();
    let told = String::from_utf8(told.expect("its output").stdout).expect("text");
    told.trim().parse().expect("a number")
}

#[test]
fn the_wall_clock_of_a_process_is_stepped() {
    assert!(shim().exists(), "{:?} was not built", shim());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("clock");
    let control = SharedControl::create(&path).expect("a control file");
    let before = date(&path);
    control.step_wall_clock(3600);
    assert!((3600..3660).contains(&(date(&path) - before)));
    control.step_wall_clock(-3600);
    assert!((-3600..-3540).contains(&(date(&path) - before)));
}

#[test]
fn a_call_fails_as_often_as_told() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("fails");
    let control = SharedControl::create(&path).expect("a control file");
    control.faults(Call::OpenRead).fail_next(1, &[libc::ENFILE]);
    let cat = || {
        Command::new("cat")
            .arg("/dev/null")
            .env("LD_PRELOAD", shim())
            .env(VARIABLE, &path)
            .output()
    };
    assert!(control.faults(Call::OpenRead).left() == 1);
    let _ = cat().expect("its output");
    assert_eq!(
        control.faults(Call::OpenRead).left() + control.faults(Call::OpenRead).failed(),
        1
    );
}
