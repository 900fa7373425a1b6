//! Tests of membership, freshness and ownership in a simulated fleet in virtual time.

mod fleet;
mod freshness;
mod membership;
mod ownership;
