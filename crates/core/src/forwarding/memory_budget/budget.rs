use super::{
    byte_shares::ByteShares,
    held_answers::{AnswerId, HeldAnswers},
};
use crate::ids::WorkspaceId;
use std::{net::IpAddr, time::Instant};

/// Size up to which a body counts only in the total and not in the shares, and an answer not at all,
/// in bytes.
const SMALL_BYTES: usize = 16 * 1024;
/// Part of the memory for bodies, as a divisor, that only small bodies may use.
const SMALL_RESERVE_DIVISOR: usize = 4;
/// Share of a workspace, as a divisor of the memory for bodies or for answers.
const WORKSPACE_DIVISOR: usize = 2;
/// Share of callers without a key, the same for all of them together.
const KEYLESS_DIVISOR: usize = 4;
/// Share of one caller address, in quarters: load balancers send requests of many callers.
const ADDRESS_QUARTERS: usize = 3;

/// For whom memory is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryUser {
    /// Workspace of the caller's key; empty without one.
    pub workspace: WorkspaceId,
    /// Whether the caller's key is known, or no caller needs one.
    pub has_key: bool,
    /// Address of the caller's connection.
    pub address: IpAddr,
}

/// Why memory is not available now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Shortage {
    /// All memory for this use is taken.
    Total,
    /// The share of the workspace or of callers without a key is taken.
    Workspace,
    /// The share of the caller's address is taken.
    Address,
}

impl Shortage {
    /// Name in log lines and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Total => "daemon",
            Self::Workspace => "workspace",
            Self::Address => "address",
        }
    }
}

/// Limits the memory that is held for callers.
///
/// Half of it is for bodies of requests, which are admitted before they are read. The other half is
/// for complete answers: these are always delivered, so that requests are refused while it is taken
/// and the connections of the slowest readers are closed.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    max_body_bytes: usize,
    max_answer_bytes: usize,
    body_bytes: usize,
    workspaces: ByteShares<WorkspaceId>,
    addresses: ByteShares<IpAddr>,
    answers: HeldAnswers,
}

impl MemoryBudget {
    /// Creates an empty budget of `max_bytes` for bodies and answers together.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_body_bytes: max_bytes / 2,
            max_answer_bytes: max_bytes / 2,
            body_bytes: 0,
            workspaces: ByteShares::default(),
            addresses: ByteShares::default(),
            answers: HeldAnswers::default(),
        }
    }

    /// Bytes reserved for bodies.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Bytes of the complete answers that are not read to their end.
    pub fn answer_bytes(&self) -> usize {
        self.answers.used_bytes()
    }

    /// Number of workspaces for which large bodies are held.
    pub fn workspaces(&self) -> usize {
        self.workspaces.users()
    }

    /// Reserves memory for a body that grows from `held` to `held + more` bytes.
    ///
    /// A body of any size is admitted while no other is held.
    ///
    /// # Errors
    /// There is no room, and nothing was reserved.
    pub fn grow_body(
        &mut self,
        user: &MemoryUser,
        held: usize,
        more: usize,
    ) -> Result<(), Shortage> {
        let size = held.saturating_add(more);
        let counted = counted(size) - counted(held);
        let is_only_one = self.body_bytes == held;
        if !is_only_one {
            self.check_body(user, size, more, counted)?;
        }
        self.body_bytes += more;
        self.workspaces.add(&user.workspace, counted);
        self.addresses.add(&user.address, counted);
        Ok(())
    }

    fn check_body(
        &self,
        user: &MemoryUser,
        size: usize,
        more: usize,
        counted: usize,
    ) -> Result<(), Shortage> {
        let max = self.max_body_bytes;
        let max_total = if size <= SMALL_BYTES { max } else { max - max / SMALL_RESERVE_DIVISOR };
        if self.body_bytes.saturating_add(more) > max_total {
            return Err(Shortage::Total);
        }
        let divisor = if user.has_key { WORKSPACE_DIVISOR } else { KEYLESS_DIVISOR };
        if counted > 0 && self.workspaces.used(&user.workspace) + counted > max / divisor {
            return Err(Shortage::Workspace);
        }
        let max_address = max / 4 * ADDRESS_QUARTERS;
        if counted > 0 && self.addresses.used(&user.address) + counted > max_address {
            return Err(Shortage::Address);
        }
        Ok(())
    }

    /// Returns the memory of a body of `held` bytes.
    pub fn release_body(&mut self, user: &MemoryUser, held: usize) {
        self.body_bytes = self.body_bytes.saturating_sub(held);
        self.workspaces.remove(&user.workspace, counted(held));
        self.addresses.remove(&user.address, counted(held));
    }

    /// Whether an answer is so small that it is not counted.
    pub fn is_small(bytes: usize) -> bool {
        bytes <= SMALL_BYTES
    }

    /// Whether a request may be sent to an endpoint: there is room to hold its answer.
    ///
    /// # Errors
    /// Answers that are not read take up all room, or that of the workspace.
    pub fn admit_answer(&self, workspace: &str) -> Result<(), Shortage> {
        if self.answers.used_bytes() <= self.max_answer_bytes / WORKSPACE_DIVISOR {
            return Ok(());
        }
        if self.answers.used_bytes() > self.max_answer_bytes {
            return Err(Shortage::Total);
        }
        match self.answers.used_by(workspace) > self.max_answer_bytes / WORKSPACE_DIVISOR {
            true => Err(Shortage::Workspace),
            false => Ok(()),
        }
    }

    /// Holds a complete answer.
    pub fn hold_answer(&mut self, now: Instant, workspace: WorkspaceId, bytes: usize) -> AnswerId {
        self.answers.hold(now, workspace, bytes)
    }

    /// Records that the caller has taken bytes of an answer.
    pub fn on_answer_read(&mut self, now: Instant, id: AnswerId, bytes: usize) {
        self.answers.on_read(now, id, bytes);
    }

    /// Returns the memory of an answer that was read or whose connection ended.
    pub fn release_answer(&mut self, id: AnswerId) {
        self.answers.release(id);
    }

    /// The answer whose connection is closed first to make room for others.
    pub fn slowest_answer(
        &self,
        now: Instant,
        shortage: Shortage,
        workspace: &str,
    ) -> Option<AnswerId> {
        self.answers.slowest(now, (shortage == Shortage::Workspace).then_some(workspace))
    }
}

/// Bytes of a body that count in the shares.
fn counted(bytes: usize) -> usize {
    if bytes > SMALL_BYTES { bytes } else { 0 }
}
