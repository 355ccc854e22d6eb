//! Tests the preload library in ordinary system programs, which are not built for it.

use fault_injection::{ControlFile, SystemCall, CONTROL_FILE_VARIABLE};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Returns the path of the preload library, which is in the same folder as the test program.
fn library() -> PathBuf {
    let test_program = std::env::current_exe().expect("the path of the test program");
    let folder = test_program
        .parent()
        .expect("the folder of the test program");
    folder.join("libfault_injection_preload.so")
}

/// Returns the path of the control file `name` in the tests' temporary folder.
fn control_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Runs a program with the library preloaded and with this control file, and returns its output.
fn run(program: &str, argument: &str, control: &Path) -> Output {
    Command::new(program)
        .arg(argument)
        .env("LD_PRELOAD", library())
        .env(CONTROL_FILE_VARIABLE, control)
        .output()
        .expect("the output of the program")
}

/// Returns the Unix time in seconds that `date` prints with this control file.
fn unix_time(control: &Path) -> i64 {
    let output = run("date", "+%s", control);
    let text = String::from_utf8(output.stdout).expect("output in UTF-8");
    text.trim().parse().expect("a time in seconds")
}

#[test]
fn wall_clock_offset_applies_in_preloaded_process() {
    assert!(library().exists(), "{:?} was not built", library());
    let path = control_path("clock");
    let control = ControlFile::create(&path).expect("a control file");
    let before = unix_time(&path);
    control.set_wall_clock_offset(3600);
    assert!((3600..3660).contains(&(unix_time(&path) - before)));
    control.set_wall_clock_offset(-3600);
    assert!((-3600..-3540).contains(&(unix_time(&path) - before)));
}

#[test]
fn call_fails_as_often_as_configured() {
    let path = control_path("fails");
    let control = ControlFile::create(&path).expect("a control file");
    let faults = control.faults(SystemCall::OpenRead);
    faults.fail_next(1, &[libc::ENFILE]);
    assert_eq!(faults.remaining_failures(), 1);
    run("cat", "/dev/null", &path);
    assert_eq!(faults.remaining_failures() + faults.failure_count(), 1);
}
