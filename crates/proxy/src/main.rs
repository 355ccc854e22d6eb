//! `balancer-proxy`: runs the proxy as the environment configures it.

#![forbid(unsafe_code)]

use std::io::Write as _;
use std::process::ExitCode;

fn main() -> ExitCode {
    match balancer_proxy::run_from_environment() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // A closed standard error must not turn a failed start into a panic.
            let _ = writeln!(std::io::stderr(), "balancer-proxy: {error}");
            ExitCode::FAILURE
        }
    }
}
