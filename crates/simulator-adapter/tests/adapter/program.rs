//! Tests of the program: its standard input, output and error, and its exit code.

use crate::support::bytes;
use std::io::Write;
use std::process::{Command, Stdio};

/// The result of one run of the program.
struct Run {
    /// Whether the exit code was 0.
    success: bool,
    /// What it wrote to standard output.
    output: Vec<u8>,
    /// What it wrote to standard error.
    errors: String,
}

/// Runs the program with this standard input until it exits.
fn run(input: &[u8]) -> Run {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    let result = child.wait_with_output().unwrap();
    Run {
        success: result.status.success(),
        output: result.stdout,
        errors: String::from_utf8(result.stderr).unwrap(),
    }
}

#[test]
fn program_answers_and_exits_cleanly() {
    let run = run(&bytes("00000010 00000001f568bf90 00000000"));
    assert!(run.success && run.errors.is_empty());
    assert_eq!(run.output, bytes("00000000 00000008"));
}

#[test]
fn malformed_input_ends_the_program_with_one_line_of_error() {
    for (input, message) in [
        (&bytes("00000010 000000")[..], "7 of 16"),
        (&bytes("00000004 0000000000000001 00000000"), "length 4"),
        (&bytes("00000020 0000000000000001 00000000"), "16 of 32"),
        (&bytes("ffffffff 0000000000000001 00000000"), "length"),
    ] {
        let run = run(input);
        assert!(!run.success && run.output.is_empty());
        assert!(
            run.errors.contains(message) && run.errors.lines().count() == 1,
            "{}",
            run.errors
        );
    }
}
