//! The `balancer-proxy` binary: runs the proxy with the configuration that the environment names.

#![forbid(unsafe_code)]

use std::io::Write as _;
use std::process::ExitCode;

fn main() -> ExitCode {
    match balancer_proxy::run_from_environment() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Not `eprintln!`, which would panic if standard error is closed.
            let _ = writeln!(std::io::stderr(), "balancer-proxy: {error}");
            ExitCode::FAILURE
        }
    }
}
