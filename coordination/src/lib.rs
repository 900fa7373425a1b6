//! Pure decisions: membership, ownership, quota, routing and batch scheduling.
