//! Record of the attempts that an endpoint daemon was handed or asked about.

mod attempt_record;

pub use self::attempt_record::{AttemptCounts, AttemptRecord};
