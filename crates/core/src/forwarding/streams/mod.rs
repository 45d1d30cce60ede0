//! Streams of events: where an event ends, and at which software version a stream that broke off may
//! go on.

mod event_boundary;
mod event_splitter;
mod resume;
mod served_versions;
mod stream_holders;
mod stream_origins;

pub use self::{
    event_boundary::EventBoundary,
    event_splitter::{CompleteEvents, EventSplitter, EventTooLong},
    resume::{ResumeDecision, ResumeInputs, ResumeRefusal},
    served_versions::{AnnouncementStep, ListedVersion, ServedVersions},
    stream_holders::stream_holders,
    stream_origins::{PlacementNumber, StreamKey, StreamOrigin, StreamOrigins, stream_key},
};
