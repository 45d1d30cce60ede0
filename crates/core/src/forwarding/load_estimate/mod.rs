//! Load and speed of endpoints at the time of a decision, estimated from information of some age.

mod endpoint_speeds;
mod work_time;

pub use self::work_time::{WorkTime, WorkTimeEstimate, WorkTimeSample};
