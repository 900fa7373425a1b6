//! Tests of membership, freshness and ownership on a simulated fleet in virtual time.

mod fleet;
mod freshness;
mod membership;
mod ownership;
