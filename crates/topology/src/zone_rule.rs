//! Which places may serve a request or hold its data, and in which order.

use crate::evacuation::Evacuations;
use crate::region::RegionSet;
use crate::zone::{Distance, ZoneMap};
use std::fmt;

/// Why a place may not serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Its zone is evacuated.
    Evacuated,
    /// Its region is none that the request may be served in.
    RegionNotAllowed,
}

impl fmt::Display for Denial {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Evacuated => "its zone is evacuated; end the evacuation to use it again",
            Self::RegionNotAllowed => {
                "its region is not allowed; allow it for the route and the tenant"
            }
        })
    }
}

/// What decides about places for one request.
#[derive(Clone, Copy, Debug)]
pub struct ZoneRule<'a> {
    /// The zones of the deployment.
    pub map: &'a ZoneMap,
    /// Evacuations that are evacuated.
    pub evacuations: &'a Evacuations,
    /// Regions that its route and its tenant allow, both together.
    pub allowed_regions: &'a RegionSet,
    /// Zone that it is served from.
    pub from_zone: &'a str,
}

impl ZoneRule<'_> {
    /// How far a server is that may serve the request: the nearest go first.
    ///
    /// # Errors
    /// Servers of that zone may not.
    pub fn serving_distance(&self, zone: &str) -> Result<Distance, Denial> {
        if !self.may_store(zone) {
            return Err(Denial::RegionNotAllowed);
        }
        if self.evacuations.is_evacuated(zone) {
            return Err(Denial::Evacuated);
        }
        Ok(self.map.distance(self.from_zone, zone))
    }

    /// Whether the data of the request may be kept in a zone. An evacuation asks for servers
    /// alone: what is kept by daemons of the zone stays.
    pub fn may_store(&self, zone: &str) -> bool {
        let region = self.map.region(zone).map(|region| &**region);
        self.allowed_regions.contains(region)
    }
}
