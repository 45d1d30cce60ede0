//! Output formats.

mod print;

pub use self::print::Output;
