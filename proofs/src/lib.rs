//! Failure tests and benchmarks of limpetweir; the code is in `tests/` and `benches/`.
