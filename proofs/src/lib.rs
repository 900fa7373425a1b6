//! Failure tests of limpetweir; the code lives in `tests/` and `benches/`.
