//! Ranks of requests: how urgent they are while there is not room for all.

use smallvec::SmallVec;

use super::{Access, Route, Team};

/// How urgent a request is; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(u8);

/// The ranks that the requests to one service may have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranks(SmallVec<[Rank; 4]>);

impl Rank {
    /// Number of ranks.
    pub const COUNT: usize = 10;

    /// The most urgent rank.
    pub const FIRST: Self = Self(0);

    /// The rank of a request on a route: its team's priority goes before the route's.
    pub fn of(route: &Route, team: Option<&Team>) -> Self {
        Self::from(team.and_then(|team| team.priority).unwrap_or(route.priority))
    }

    /// The rank as a level, from 0.
    pub const fn level(self) -> u8 {
        self.0
    }
}

impl From<u8> for Rank {
    /// Priorities beyond the last rank are of that rank.
    fn from(priority: u8) -> Self {
        Self(priority.min(Self::COUNT as u8 - 1))
    }
}

impl Ranks {
    /// Whether there is more than one, so that they matter.
    pub fn differ(&self) -> bool {
        self.0.len() > 1
    }

    /// Number of ranks.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The most urgent one.
    pub fn first(&self) -> Option<Rank> {
        self.0.first().copied()
    }

    /// Number of ranks that are more urgent than `rank`.
    pub fn count_above(&self, rank: Rank) -> usize {
        self.0.partition_point(|other| *other < rank)
    }

    /// Adds the ranks of the requests on a route.
    pub(super) fn add(&mut self, route: &Route, access: &Access) {
        match access {
            Access::Keys(teams) if !route.public => {
                self.extend(teams.values().map(|team| Rank::of(route, Some(team))));
            }
            Access::Keys(_) | Access::Open => self.extend([Rank::of(route, None)]),
        }
    }
}

impl Extend<Rank> for Ranks {
    fn extend<T: IntoIterator<Item = Rank>>(&mut self, ranks: T) {
        for rank in ranks {
            if let Err(at) = self.0.binary_search(&rank) {
                self.0.insert(at, rank);
            }
        }
    }
}

impl FromIterator<Rank> for Ranks {
    fn from_iter<T: IntoIterator<Item = Rank>>(ranks: T) -> Self {
        let mut found = Self::default();
        found.extend(ranks);
        found
    }
}
