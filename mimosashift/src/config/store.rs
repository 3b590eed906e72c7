//! What a router has installed, and the recent records for watches.

use std::collections::VecDeque;

use super::{Error, Record, State, Version};

/// Most records kept for watches and for peers that are behind.
const MAX_LOG_RECORDS: usize = 1_024;

/// The installed configuration; it only ever moves to a higher revision.
#[derive(Debug, Default)]
pub struct Store {
    state: State,
    /// Records up to the installed revision, without a gap.
    log: VecDeque<Record>,
}

/// Answer to a watch from a revision that is no longer in the log: list
/// again, then watch from `current`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone {
    /// The installed revision.
    pub current: u64,
}

impl Store {
    /// What is installed.
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// The version that is installed.
    pub const fn version(&self) -> Version {
        self.state.version()
    }

    /// Records after `revision`, for a watch or a peer.
    pub fn watch(&self, revision: u64) -> Result<impl Iterator<Item = &Record>, Gone> {
        let current = self.version().revision;
        let missing = current.checked_sub(revision).and_then(|n| usize::try_from(n).ok());
        let skip = missing.and_then(|missing| self.log.len().checked_sub(missing));
        skip.map(|skip| self.log.iter().skip(skip)).ok_or(Gone { current })
    }

    /// Installs those records that follow what is installed and returns how
    /// many did.
    ///
    /// Fails at a gap or at another history; what was installed before the
    /// failure stays.
    pub fn install_records(&mut self, records: &[Record]) -> Result<usize, Error> {
        let mut installed = 0;
        for record in records {
            if record.revision <= self.version().revision {
                self.check_known(record)?;
                continue;
            }
            self.state = self.state.apply(record)?;
            self.log.push_back(record.clone());
            if self.log.len() > MAX_LOG_RECORDS {
                self.log.pop_front();
            }
            installed += 1;
        }
        Ok(installed)
    }

    /// Installs a whole state if its revision is higher; otherwise leaves
    /// what is installed and returns `false`.
    ///
    /// Fails when the revision is installed with another history.
    pub fn install(&mut self, state: State) -> Result<bool, Error> {
        let (old, new) = (self.version(), state.version());
        if new.revision == old.revision && new != old {
            return Err(Error::Diverged(new.revision));
        }
        if new.revision <= old.revision {
            return Ok(false);
        }
        self.state = state;
        self.log.clear();
        Ok(true)
    }

    fn check_known(&self, record: &Record) -> Result<(), Error> {
        let known = self.log.iter().rev().find(|known| known.revision == record.revision);
        if known.is_some_and(|known| known.lineage != record.lineage) {
            return Err(Error::Diverged(record.revision));
        }
        Ok(())
    }
}
