//! The program `simulator-adapter`: reads the simulator's frames from standard input until that
//! ends, and writes the replies to standard output. An error is printed as one line on standard
//! error.

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
