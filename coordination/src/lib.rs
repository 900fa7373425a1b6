//! Pure decisions: membership, ownership, quota, routing and batch scheduling.

pub mod quota;
pub mod timing;
