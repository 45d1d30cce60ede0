//! What commands print.

mod print;

pub use self::print::Output;
