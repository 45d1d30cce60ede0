//! Load and speed of endpoints at the time of a decision, estimated from information of some age.

mod endpoint_speeds;
mod recent_sends;
mod service_estimate;
mod work_time;

pub use self::{
    recent_sends::RecentSends,
    service_estimate::{MANY_DAEMONS, ServiceEstimate},
    work_time::{WorkTime, WorkTimeEstimate, WorkTimeSample},
};
