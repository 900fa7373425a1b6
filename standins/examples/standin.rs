//! Starts one stand-in process.

fn main() {}
