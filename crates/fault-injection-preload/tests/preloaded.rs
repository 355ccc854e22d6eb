//! The library in processes that know nothing of it.

use fault_injection::{ControlFile, SystemCall, CONTROL_FILE_VARIABLE};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// The library, which stands beside the tests.
fn library() -> PathBuf {
    let test = std::env::current_exe().expect("this program");
    let folder = test.parent().expect("a folder of programs");
    folder.join("libfault_injection_preload.so")
}

fn control_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// The output of a program that runs with the library and this control file.
fn run(program: &str, argument: &str, control: &Path) -> Output {
    Command::new(program)
        .arg(argument)
        .env("LD_PRELOAD", library())
        .env(CONTROL_FILE_VARIABLE, control)
        .output()
        .expect("its output")
}

/// Unix time in seconds, as `date` sees it.
fn unix_time(control: &Path) -> i64 {
    let output = run("date", "+%s", control);
    let text = String::from_utf8(output.stdout).expect("text");
    text.trim().parse().expect("a number")
}

#[test]
fn the_wall_clock_of_a_process_is_stepped() {
    assert!(library().exists(), "{:?} was not built", library());
    let path = control_path("clock");
    let control = ControlFile::create(&path).expect("a control file");
    let before = unix_time(&path);
    control.step_wall_clock(3600);
    assert!((3600..3660).contains(&(unix_time(&path) - before)));
    control.step_wall_clock(-3600);
    assert!((-3600..-3540).contains(&(unix_time(&path) - before)));
}

#[test]
fn a_call_fails_as_often_as_directed() {
    let path = control_path("fails");
    let control = ControlFile::create(&path).expect("a control file");
    let faults = control.faults(SystemCall::OpenRead);
    faults.fail_next(1, &[libc::ENFILE]);
    assert_eq!(faults.remaining_failures(), 1);
    run("cat", "/dev/null", &path);
    assert_eq!(faults.remaining_failures() + faults.failure_count(), 1);
}
