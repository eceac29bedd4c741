//! The operator's word that voters are gone for good.

use {
    super::{RosterEntry, VoterSets, changes::find, is_majority},
    std::{fmt, net::SocketAddr},
    sycamorerail_wire::runs::VoterList,
};

/// The list is written so long after it and the roster were read, in milliseconds: longer than a
/// change settles by any limits ([`settle_ms`](super::settle_ms)), so that by then nobody votes on
/// a list before it, and nothing runs by what voters that are gone have granted.
pub const LEAVE_OUT_AFTER_MS: u64 = 10_000;

/// Why voters may not be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveOutError {
    /// The address is none of a voter.
    NoVoter(SocketAddr),
    /// The voter is in the roster: its lease is alive, so it may vote.
    InRoster(SocketAddr),
    /// A change is under way that this voter, which is in the roster, has not adopted. It may vote
    /// by the list before, which the next voters know nothing of.
    NotAdopted(SocketAddr),
    /// A change is under way, and this voter is one of a majority of those that stay that are not
    /// in the roster. They may vote by the list before, by each other's word.
    Unheard(SocketAddr),
    /// No voter would be left.
    All,
}

impl fmt::Display for LeaveOutError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoVoter(address) => write!(f, "{address}: is no voter"),
            Self::InRoster(address) => {
                write!(f, "{address}: is in the roster, so it may be alive and vote")
            }
            Self::NotAdopted(address) => write!(
                f,
                "{address}: stays, and has not adopted the change that is under way; say it again \
                 once it has"
            ),
            Self::Unheard(address) => write!(
                f,
                "{address}: stays, is not in the roster, and may vote with others by the list \
                 before the change that is under way"
            ),
            Self::All => f.write_str("ADDRESS...: no voter would be left"),
        }
    }
}

impl std::error::Error for LeaveOutError {}

/// Returns the list that follows `list` without the voters that are gone for good. It is in force
/// at once, also if a change was under way. The roster has to be one of the revision of the list
/// or a later one, and the list is to be written [`LEAVE_OUT_AFTER_MS`] later.
///
/// # Errors
///
/// Fails if an address is none of a voter, or a voter may still vote by a list before.
pub fn leave_out(
    list: &VoterList,
    roster: &[RosterEntry],
    gone: &[SocketAddr],
) -> Result<VoterList, LeaveOutError> {
    let sets = VoterSets::from(list);
    for &address in gone {
        if !sets.contains(address) {
            return Err(LeaveOutError::NoVoter(address));
        }
        if find(roster, address).is_some() {
            return Err(LeaveOutError::InRoster(address));
        }
    }
    let is_changing = !list.next.is_empty();
    if is_changing {
        check_before(list, roster, gone)?;
    }
    let newest = if is_changing { &list.next } else { &list.voters };
    let left = newest.iter().filter(|voter| !gone.contains(&voter.address));
    let voters: Vec<_> = left.cloned().collect();
    if voters.is_empty() {
        return Err(LeaveOutError::All);
    }
    Ok(VoterList { number: list.number + 1, voters, next: Vec::new() })
}

/// Whether those that stay may still vote by the list before the change that is under way.
fn check_before(
    list: &VoterList,
    roster: &[RosterEntry],
    gone: &[SocketAddr],
) -> Result<(), LeaveOutError> {
    let stay = || list.voters.iter().map(|voter| voter.address).filter(|it| !gone.contains(it));
    let is_behind =
        |address| find(roster, address).is_some_and(|entry| entry.voters_number < list.number);
    if let Some(behind) = stay().find(|voter| is_behind(*voter)) {
        return Err(LeaveOutError::NotAdopted(behind));
    }
    let is_missing = |address| !gone.contains(&address) && find(roster, address).is_none();
    let missing = stay().find(|voter| is_missing(*voter));
    let left: Vec<_> =
        list.voters.iter().filter(|voter| !gone.contains(&voter.address)).cloned().collect();
    let may_vote = is_majority(&left, is_missing);
    missing.filter(|_| may_vote).map_or(Ok(()), |missing| Err(LeaveOutError::Unheard(missing)))
}
