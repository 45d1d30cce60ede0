//! Record of the attempts that an endpoint daemon received or was asked to resolve.

mod attempt_record;

pub use self::attempt_record::{AttemptCounts, AttemptRecord};
