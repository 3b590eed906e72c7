//! The configuration installed on a router, and recent records for watches.

use std::collections::VecDeque;

use super::{Error, Record, State, Version};

/// Maximum number of records kept for watches and for peers that are behind.
const MAX_LOG_RECORDS: usize = 1_024;

/// The installed configuration; its revision only increases.
#[derive(Debug, Default)]
pub struct Store {
    state: State,
    /// Consecutive records up to the installed revision.
    log: VecDeque<Record>,
}

/// The log does not reach back to the revision to watch from, or that revision
/// is not installed yet: the client must list the resources again and watch from
/// `current`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone {
    /// The installed revision.
    pub current: u64,
}

impl Store {
    /// The installed state.
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// The installed version.
    pub const fn version(&self) -> Version {
        self.state.version()
    }

    /// The records after `revision`, for a watch or a peer.
    pub fn watch(&self, revision: u64) -> Result<impl Iterator<Item = &Record>, Gone> {
        let current = self.version().revision;
        let missing = current.checked_sub(revision).and_then(|n| usize::try_from(n).ok());
        let skip = missing.and_then(|missing| self.log.len().checked_sub(missing));
        skip.map(|skip| self.log.iter().skip(skip)).ok_or(Gone { current })
    }

    /// Installs the records that follow the installed revision and returns how
    /// many were installed.
    ///
    /// Fails at a gap or if the history differs; records installed before the
    /// failure remain installed.
    pub fn install_records(&mut self, records: &[Record]) -> Result<usize, Error> {
        let mut installed = 0;
        for record in records {
            if record.revision <= self.version().revision {
                self.check_installed(record)?;
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

    /// Installs a complete state if its revision is higher; otherwise changes
    /// nothing and returns `false`.
    ///
    /// Fails if the same revision is installed with a different history.
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

    fn check_installed(&self, record: &Record) -> Result<(), Error> {
        let known = self.log.iter().rev().find(|known| known.revision == record.revision);
        if known.is_some_and(|known| known.lineage != record.lineage) {
            return Err(Error::Diverged(record.revision));
        }
        Ok(())
    }
}
