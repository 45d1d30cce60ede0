//! Memory that a daemon holds for its callers: reading of request bodies, and complete answers until
//! they are read.

mod body_lease;
mod body_reader;
mod discard;
mod held_answer;
mod shared_memory;

pub use self::{
    body_lease::{BodyLease, HeldBody},
    body_reader::{BodyError, BodyLimits, read_body},
    discard::discard_rest,
    held_answer::{HeldAnswer, UnreadPart},
    shared_memory::CallerMemory,
};
