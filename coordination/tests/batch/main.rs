//! Tests of batch scheduling, batch slots and engine orders.

mod orders;
mod scheduler;
mod slots;
