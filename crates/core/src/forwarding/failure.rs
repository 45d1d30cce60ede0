/// Reason why an attempt at an endpoint ended without a usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// No connection could be established.
    ConnectFailed,
    /// The connection was established, but no byte of the request was sent.
    NotSent,
    /// The endpoint reports that it did not run the request, for example because it is full.
    NotExecuted,
    /// The peer is not the endpoint or boot that the request was addressed to.
    WrongEndpoint,
    /// The endpoint runs another weight version than the one that the request was addressed to.
    WrongWeights,
    /// The connection was closed or reset after the request was sent and before the answer's head.
    Closed,
    /// No answer arrived in time.
    Silent,
    /// The request was canceled before its answer started, since its weight version became too
    /// old.
    Outdated,
    /// The request was canceled before its answer started, since a part of its prompt was
    /// quarantined.
    Quarantined,
    /// The received bytes do not follow the protocol.
    Garbled,
    /// The answer is longer than the memory that may be used for it.
    Oversized,
    /// The answer belongs to another request.
    WrongAnswer,
    /// The answer was cut off before its end.
    Cut,
    /// The endpoint ran the request and returned an error.
    Failed,
}

/// Evidence that a request ran, in increasing order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExecutionState {
    /// The request did not run and never will.
    NotRun,
    /// It is not known whether the request ran.
    Unknown,
    /// The request ran, at least in part.
    Ran,
}

impl ExecutionState {
    /// Value in log records.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

impl Fault {
    /// Every fault, so that tests can cover all of them.
    pub const ALL: [Self; 14] = [
        Self::ConnectFailed,
        Self::NotSent,
        Self::NotExecuted,
        Self::WrongEndpoint,
        Self::WrongWeights,
        Self::Closed,
        Self::Silent,
        Self::Outdated,
        Self::Quarantined,
        Self::Garbled,
        Self::Oversized,
        Self::WrongAnswer,
        Self::Cut,
        Self::Failed,
    ];

    /// What the fault proves about the execution of the request.
    pub fn execution_state(self) -> ExecutionState {
        match self {
            Self::ConnectFailed
            | Self::NotSent
            | Self::NotExecuted
            | Self::WrongEndpoint
            | Self::WrongWeights => ExecutionState::NotRun,
            Self::Closed
            | Self::Silent
            | Self::Outdated
            | Self::Quarantined
            | Self::Garbled
            | Self::Oversized
            | Self::WrongAnswer => ExecutionState::Unknown,
            Self::Cut | Self::Failed => ExecutionState::Ran,
        }
    }

    /// Whether the endpoint may have received bytes of the request, which makes another attempt
    /// count as a retry.
    pub fn has_reached_endpoint(self) -> bool {
        !matches!(self, Self::ConnectFailed | Self::NotSent)
    }

    /// Whether the fault counts against the endpoint's health.
    pub fn counts_against_health(self) -> bool {
        !matches!(
            self,
            Self::NotExecuted
                | Self::WrongWeights
                | Self::NotSent
                | Self::Outdated
                | Self::Quarantined
        )
    }

    /// Whether the endpoint cannot be reached at its address at all, so that no further request
    /// should be sent there for now.
    pub fn is_unreachable(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::WrongEndpoint)
    }

    /// Value in log records and metric labels.
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::NotSent => "not_sent",
            Self::NotExecuted => "not_executed",
            Self::WrongEndpoint => "wrong_endpoint",
            Self::WrongWeights => "wrong_weights",
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::Outdated => "outdated",
            Self::Quarantined => "quarantined",
            Self::Garbled => "garbled",
            Self::Oversized => "oversized",
            Self::WrongAnswer => "wrong_answer",
            Self::Cut => "cut",
            Self::Failed => "failed",
        }
    }
}
