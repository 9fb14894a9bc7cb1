//! Zones, their regions, and the distance between two zones.

use std::collections::BTreeMap;
use std::rc::Rc;

/// Distance between two zones. The variants are ordered from near to far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// Both are the same zone.
    SameZone,
    /// Different zones of the same region.
    SameRegion,
    /// Zones of different regions, or the region of at least one is not configured.
    OtherRegion,
}

/// The zones of a deployment and their regions, as configured in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Map {
    regions: BTreeMap<Rc<str>, Rc<str>>,
}

impl Map {
    /// Creates a map from pairs of a zone and its region.
    pub fn new<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let pairs = pairs.into_iter();
        Self {
            regions: pairs
                .map(|(zone, region)| (Rc::from(zone), Rc::from(region)))
                .collect(),
        }
    }

    /// Returns the region of a zone, if it is configured.
    pub fn region(&self, zone: &str) -> Option<&Rc<str>> {
        self.regions.get(zone)
    }

    /// Iterates over all configured zones in lexical order.
    pub fn zones(&self) -> impl Iterator<Item = &Rc<str>> {
        self.regions.keys()
    }

    /// Returns all regions in lexical order, without duplicates.
    pub fn regions(&self) -> Vec<Rc<str>> {
        let mut regions: Vec<Rc<str>> = self.regions.values().cloned().collect();
        regions.sort_unstable();
        regions.dedup();
        regions
    }

    /// Returns the distance between two zones. A zone without a configured region counts as
    /// [`Distance::OtherRegion`] from every other zone, unless no zone is configured at all: then
    /// all zones belong to one region.
    pub fn distance(&self, from: &str, to: &str) -> Distance {
        if from == to {
            return Distance::SameZone;
        }
        if self.regions.is_empty() {
            return Distance::SameRegion;
        }
        match (self.region(from), self.region(to)) {
            (Some(left), Some(right)) if left == right => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}
