use cassiagw_core::{
    claims::{Answer, Body, ClaimKey, Fingerprint},
    ids::AttemptId,
};

/// Limits of the search; all but `retargets` are totals over one path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Requests with the key.
    pub arrivals: u8,
    /// Lost or delayed messages, failed connections and failed endpoint selections.
    pub faults: u8,
    /// Restarts of the endpoint daemon.
    pub restarts: u8,
    /// Crashes of entry daemons.
    pub crashes: u8,
    /// Retargets of each call.
    pub retargets: u8,
}

/// A protocol rule that is omitted, to check that the search detects the resulting violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Flaw {
    /// The endpoint daemon reports an attempt that did not arrive without sealing it.
    NoSeal,
    /// An entry dispatches its attempt before the claim is committed.
    DispatchBeforeClaim,
    /// The endpoint daemon accepts attempts that were claimed for an earlier boot.
    BootUnchecked,
    /// An entry takes the report of a later boot for that of the attempt's boot.
    OtherBootTrusted,
    /// An entry dispatches although the response to its claim was lost.
    LostAppendAssumedDone,
    /// A release frees the key whichever attempt holds it.
    UnconditionalRelease,
}

pub fn key() -> ClaimKey {
    ClaimKey::new("w", "k")
}

pub fn fingerprint() -> Fingerprint {
    Fingerprint([0; 16])
}

pub fn answer(id: AttemptId) -> Answer {
    Answer { status: 200, content_type: None, body: Body::Whole(id.to_le_bytes().to_vec()) }
}
