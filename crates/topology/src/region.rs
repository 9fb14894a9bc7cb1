//! Sets of regions that data may stay in.

use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

/// Regions that requests may be served in and their data kept in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RegionSet {
    /// Any region.
    #[default]
    All,
    /// These alone; none of them where two sets have nothing in common.
    Only(BTreeSet<Rc<str>>),
}

impl RegionSet {
    /// The set of these regions; an empty list binds nothing.
    pub fn from_names<'a>(regions: impl IntoIterator<Item = &'a str>) -> Self {
        let regions: BTreeSet<Rc<str>> = regions.into_iter().map(Rc::from).collect();
        match regions.is_empty() {
            true => Self::All,
            false => Self::Only(regions),
        }
    }

    /// What both sets hold: a route's and a tenant's bind together.
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::All, set) | (set, Self::All) => set.clone(),
            (Self::Only(left), Self::Only(right)) => {
                Self::Only(left.intersection(right).cloned().collect())
            }
        }
    }

    /// Whether any region is allowed.
    pub fn is_all(&self) -> bool {
        matches!(self, Self::All)
    }

    /// Whether no region is allowed.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Only(regions) if regions.is_empty())
    }

    /// Whether a region belongs to it; one that was not told belongs to [`RegionSet::All`] alone.
    pub fn contains(&self, region: Option<&str>) -> bool {
        match self {
            Self::All => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// The regions by name, where it names any.
    pub fn names(&self) -> Option<impl Iterator<Item = &Rc<str>>> {
        match self {
            Self::All => None,
            Self::Only(regions) => Some(regions.iter()),
        }
    }
}

impl fmt::Display for RegionSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::All => write!(formatter, "all"),
            Self::Only(regions) => {
                let names: Vec<&str> = regions.iter().map(|region| &**region).collect();
                write!(formatter, "{}", names.join(","))
            }
        }
    }
}
