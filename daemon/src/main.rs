//! Entry point of the limpetweir daemon.

fn main() {}
