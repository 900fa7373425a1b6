//! Command-line tool for operators and callers of limpetweir.

use std::process::ExitCode;

fn main() -> ExitCode {
    limpetweir::run(std::env::args_os())
}
