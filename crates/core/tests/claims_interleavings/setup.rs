use cassiagw_core::{
    claims::{Answer, Body, ClaimKey, Fingerprint},
    ids::AttemptId,
};

/// Maximum number of requests, faults and retargets on one path of the search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub arrivals: u8,
    pub faults: u8,
    pub restarts: u8,
    pub crashes: u8,
    pub retargets: u8,
}

/// A protocol rule that is omitted, to check that the search detects the resulting violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Flaw {
    NoSeal,
    DispatchBeforeClaim,
    BootUnchecked,
    OtherBootTrusted,
    LostAppendAssumedDone,
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
