//! Command-line tool for operators and callers of limpetweir.

fn main() {}
