//! Zones, the regions that they belong to, and how far two zones are apart.

use std::collections::BTreeMap;
use std::rc::Rc;

/// How far two zones are apart, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// They are one zone.
    SameZone,
    /// They are zones of one region.
    SameRegion,
    /// They belong to different regions, or nobody told the region of one of them.
    OtherRegion,
}

/// The zones of a deployment, as the settings tell them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneMap {
    regions: BTreeMap<Rc<str>, Rc<str>>,
}

impl ZoneMap {
    /// A map of pairs of a zone and its region.
    pub fn new<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let pairs = pairs.into_iter();
        Self {
            regions: pairs
                .map(|(zone, region)| (Rc::from(zone), Rc::from(region)))
                .collect(),
        }
    }

    /// The region of a zone, where it was told.
    pub fn region(&self, zone: &str) -> Option<&Rc<str>> {
        self.regions.get(zone)
    }

    /// All zones, in their order.
    pub fn zones(&self) -> impl Iterator<Item = &Rc<str>> {
        self.regions.keys()
    }

    /// All regions, each once, in their order.
    pub fn regions(&self) -> Vec<Rc<str>> {
        let mut regions: Vec<Rc<str>> = self.regions.values().cloned().collect();
        regions.sort_unstable();
        regions.dedup();
        regions
    }

    /// How far two zones are apart. Zones that were not told count as far from all others,
    /// unless no zone was told at all: then there is one region.
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
