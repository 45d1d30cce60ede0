use super::StreamOrigin;
use crate::ids::{ServiceId, ServiceVersion};

/// What is known of a stream that a caller resumes.
///
/// Load: callers whose streams broke off come back to any daemon while two software versions serve
/// side by side, or after all daemons or all endpoints of a version have gone. Some of these daemons
/// are paused or cut off while a version joins.
#[derive(Clone, Debug)]
pub struct ResumeInputs<'a> {
    /// Service that the request is for now.
    pub service: &'a ServiceId,
    /// Origin of the stream, if this daemon or one that it asked knows it.
    pub origin: Option<&'a StreamOrigin>,
    /// The only version that may have begun streams of the service; `None` if there are several.
    pub only_version: Option<ServiceVersion>,
    /// Whether the view contains all that any daemon knew when the caller came. What was proved before
    /// does not count: streams may begin at another version as soon as some daemon knows it.
    pub is_view_complete: bool,
    /// Whether it can still be proved that the view is complete.
    pub can_confirm: bool,
    /// Whether the daemons that were told of the stream can still be asked.
    pub can_ask: bool,
}

/// Whether and where a stream that a caller resumes goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumeDecision {
    /// At endpoints of this version.
    At(ServiceVersion),
    /// It must be proved first that the view is complete.
    Confirm,
    /// The daemons that were told of the stream must be asked first.
    Ask,
    /// Nowhere; the request does not run.
    Refuse(ResumeRefusal),
}

/// Why a stream is not resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeRefusal {
    /// Several versions may have begun it.
    UnknownVersion,
    /// Another service began it.
    OtherService,
}

impl ResumeRefusal {
    /// Explanation for the caller and the log.
    pub fn cause(self) -> &'static str {
        match self {
            Self::UnknownVersion => "it is not known which version began the stream",
            Self::OtherService => "another service began the stream",
        }
    }
}

impl ResumeInputs<'_> {
    /// Decides by what is proved: a stream goes on only at the version that began it.
    pub fn decide(&self) -> ResumeDecision {
        match (self.origin, &self.only_version) {
            (Some(origin), _) if origin.service != *self.service => {
                ResumeDecision::Refuse(ResumeRefusal::OtherService)
            }
            (Some(origin), _) => ResumeDecision::At(origin.version.clone()),
            (None, Some(version)) if self.is_view_complete => ResumeDecision::At(version.clone()),
            (None, Some(_)) if self.can_confirm => ResumeDecision::Confirm,
            (None, _) if self.can_ask => ResumeDecision::Ask,
            (None, _) => ResumeDecision::Refuse(ResumeRefusal::UnknownVersion),
        }
    }
}
