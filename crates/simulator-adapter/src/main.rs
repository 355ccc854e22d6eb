//! `simulator-adapter`: answers the simulator's frames on standard input until it ends.

#![forbid(unsafe_code)]

use simulator_adapter::instances::InstanceTable;
use simulator_adapter::stream;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut instances = InstanceTable::default();
    match stream::serve(&mut instances, io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
