/// How sending a request to an endpoint ended without a usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// No connection was made.
    ConnectFailed,
    /// A connection was made, and no byte of the request left.
    NotSent,
    /// The endpoint says that it did not run the request, such as when it is full.
    NotExecuted,
    /// Another endpoint, or the endpoint with other weights, answered that it is not the one named.
    WrongEndpoint,
    /// The connection closed or was reset after the request left and before the answer's head.
    Closed,
    /// No answer came in time.
    Silent,
    /// It was taken back before its answer began, as it would have run on too old weights.
    Outdated,
    /// The bytes that came are no answer in the protocol.
    Garbled,
    /// The answer belongs to another request.
    WrongAnswer,
    /// The answer broke off before its end.
    Cut,
    /// The endpoint ran the request and answered with a failure.
    Failed,
}

/// What is known of whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Proof {
    /// It did not run and never will.
    NotRun,
    /// Nothing is proven.
    Unknown,
    /// It ran, at least in part.
    Ran,
}

impl Proof {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

impl Fault {
    /// Every fault, for tests that go over all of them.
    pub const ALL: [Self; 11] = [
        Self::ConnectFailed,
        Self::NotSent,
        Self::NotExecuted,
        Self::WrongEndpoint,
        Self::Closed,
        Self::Silent,
        Self::Outdated,
        Self::Garbled,
        Self::WrongAnswer,
        Self::Cut,
        Self::Failed,
    ];

    /// What the fault proves about the request.
    pub fn proof(self) -> Proof {
        match self {
            Self::ConnectFailed | Self::NotSent | Self::NotExecuted | Self::WrongEndpoint => {
                Proof::NotRun
            }
            Self::Closed | Self::Silent | Self::Outdated | Self::Garbled | Self::WrongAnswer => {
                Proof::Unknown
            }
            Self::Cut | Self::Failed => Proof::Ran,
        }
    }

    /// Whether the endpoint received bytes of the request, so that another sending is a repeat.
    pub fn has_arrived(self) -> bool {
        !matches!(self, Self::ConnectFailed | Self::NotSent)
    }

    /// Whether it speaks against the endpoint's health.
    pub fn is_unhealthy(self) -> bool {
        !matches!(self, Self::NotExecuted | Self::WrongEndpoint | Self::NotSent | Self::Outdated)
    }

    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::NotSent => "not_sent",
            Self::NotExecuted => "not_executed",
            Self::WrongEndpoint => "wrong_endpoint",
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::Outdated => "outdated",
            Self::Garbled => "garbled",
            Self::WrongAnswer => "wrong_answer",
            Self::Cut => "cut",
            Self::Failed => "failed",
        }
    }
}
