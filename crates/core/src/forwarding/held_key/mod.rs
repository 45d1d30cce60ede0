//! A key that this process holds under a lease, in a store whose responses may be lost and whose
//! writes may arrive late.
//!
//! [`KeyWriter`] names the process and lease of each write in the key's value, [`HeldKey`] decides
//! the next call, and [`register_slot`] spreads the calls of a fleet that registers at once.

mod held_key_state;
mod key_writer;
mod register_slot;

pub use self::{
    held_key_state::{HeldKey, KeySight, KeyStep, KeyView as HeldKeyView},
    key_writer::KeyWriter,
    register_slot::register_slot,
};
