//! What an operator sees of the list of voters, and the operator's word that some are gone.

use {
    crate::{
        roster::{PREFIX, RosterReader, entry_key},
        voters,
    },
    std::{fmt, net::SocketAddr, time::Duration},
    sycamorerail_decide::voters::{LEAVE_OUT_AFTER_MS, LeaveOutError, RosterEntry, leave_out},
    sycamorerail_platform::{Expected, Platform, PlatformError, Swap},
    sycamorerail_wire::runs::{EntryAddress, VoterList},
    tokio::time::sleep,
};

/// Why the list could not be shown or changed.
#[derive(Debug)]
pub enum VotersError {
    /// The platform did not answer.
    Platform(PlatformError),
    /// The platform keeps no list.
    NoList,
    /// The platform keeps something else in its place.
    Unreadable {
        /// Platform revision of what it keeps.
        revision: u64,
        /// What is wrong with it.
        error: serde_json::Error,
    },
    /// The voters may not be left out.
    Refused(LeaveOutError),
    /// One of the voters to leave out has come back to the roster.
    Returned(Vec<SocketAddr>),
    /// The list has changed since it was shown.
    Changed {
        /// Platform revision of the list that was shown.
        shown: u64,
    },
}

impl fmt::Display for VotersError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => error.fmt(f),
            Self::NoList => write!(f, "{}: the platform keeps no list of voters", voters::KEY),
            Self::Unreadable { revision, error } => {
                write!(f, "{} at revision {revision}: no list of voters: {error}", voters::KEY)
            }
            Self::Refused(error) => error.fmt(f),
            Self::Returned(gone) => {
                let gone: Vec<_> = gone.iter().map(ToString::to_string).collect();
                write!(f, "{}: one is in the roster now; nothing was written", gone.join(" "))
            }
            Self::Changed { shown } => write!(
                f,
                "{}: another change came after revision {shown}; nothing was written",
                voters::KEY
            ),
        }
    }
}

impl std::error::Error for VotersError {}

impl From<PlatformError> for VotersError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

/// The list of voters and the roster as the platform keeps them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VotersShown {
    /// Platform revision of the list.
    pub revision: u64,
    /// The list.
    pub list: VoterList,
    /// The roster, as of this revision or a later one.
    pub roster: Vec<RosterEntry>,
}

impl VotersShown {
    /// Reads the list and the roster.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer, or keeps no list that can be read.
    pub async fn read(platform: &Platform) -> Result<Self, VotersError> {
        let item = platform.get(voters::KEY).await?.ok_or(VotersError::NoList)?;
        let revision = item.modified;
        let list = voters::read(&item.value)
            .map_err(|error| VotersError::Unreadable { revision, error })?;
        let items = platform.range(PREFIX).await?.items;
        let roster = RosterReader::default().roster_entries(&items);
        Ok(Self { revision, list, roster })
    }

    /// Writes the list without voters that are gone for good in place of the one that was shown,
    /// unless one of them is in the roster by then. It waits until nobody votes by a list before
    /// the one that was shown. Returns the list that was written.
    ///
    /// # Errors
    ///
    /// Fails if the voters may not be left out, the list has changed, or the platform does not
    /// answer, in which case the list may have been written.
    pub async fn leave_out(
        &self,
        platform: &Platform,
        gone: &[SocketAddr],
    ) -> Result<VoterList, VotersError> {
        let list = leave_out(&self.list, &self.roster, gone).map_err(VotersError::Refused)?;
        let value = serde_json::to_string(&list).expect("a list of addresses has a JSON form");
        sleep(Duration::from_millis(LEAVE_OUT_AFTER_MS)).await;
        let absent: Vec<_> = gone.iter().map(|address| entry_key(*address)).collect();
        let absent: Vec<_> = absent.iter().map(String::as_str).collect();
        let expected = Expected::Modified(self.revision);
        match platform.swap(voters::KEY, expected, &value, None, &absent).await? {
            Swap::Done { .. } => Ok(list),
            Swap::Lost { current } => {
                let is_as_shown = current.is_some_and(|item| item.modified == self.revision);
                Err(if is_as_shown {
                    VotersError::Returned(gone.to_vec())
                } else {
                    VotersError::Changed { shown: self.revision }
                })
            }
        }
    }

    fn write_voter(
        &self,
        f: &mut fmt::Formatter<'_>,
        set: &str,
        voter: &EntryAddress,
    ) -> fmt::Result {
        let EntryAddress { address, data_centre } = voter;
        write!(f, "{set} {address} {data_centre:?} ")?;
        match self.roster.iter().find(|entry| entry.entry.address == *address) {
            Some(entry) => writeln!(f, "in the roster, has told list {}", entry.voters_number),
            None => writeln!(f, "not in the roster"),
        }
    }
}

impl fmt::Display for VotersShown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let VoterList { number, voters, next } = &self.list;
        writeln!(f, "list {number} at revision {}", self.revision)?;
        voters.iter().try_for_each(|voter| self.write_voter(f, "voter", voter))?;
        next.iter().try_for_each(|voter| self.write_voter(f, "next", voter))
    }
}
