//! Sets of regions that data may be stored in.

use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

/// Regions that may serve requests and store their data.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RegionSet {
    /// Any region.
    #[default]
    All,
    /// Only these regions. The set is empty if two intersected sets have no region in common.
    Only(BTreeSet<Rc<str>>),
}

impl RegionSet {
    /// Creates the set of the named regions. An empty list allows all regions.
    pub fn from_names<'a>(regions: impl IntoIterator<Item = &'a str>) -> Self {
        let regions: BTreeSet<Rc<str>> = regions.into_iter().map(Rc::from).collect();
        match regions.is_empty() {
            true => Self::All,
            false => Self::Only(regions),
        }
    }

    /// Returns the regions that both sets allow. Used to combine the regions of a route with
    /// those of a tenant.
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::All, set) | (set, Self::All) => set.clone(),
            (Self::Only(left), Self::Only(right)) => {
                Self::Only(left.intersection(right).cloned().collect())
            }
        }
    }

    /// Whether all regions are allowed.
    pub fn is_all(&self) -> bool {
        matches!(self, Self::All)
    }

    /// Whether no region is allowed.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Only(regions) if regions.is_empty())
    }

    /// Whether the set allows a region. An unknown region (`None`) is allowed by
    /// [`RegionSet::All`] only.
    pub fn contains(&self, region: Option<&str>) -> bool {
        match self {
            Self::All => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Returns the names of the allowed regions, or `None` if all regions are allowed.
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
