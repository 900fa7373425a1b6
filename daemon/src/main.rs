//! Entry point of the limpetweir daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    limpetweird::run()
}
