//! Which zones may serve a request or store its data, nearest first.

use crate::evacuation::Evacuations;
use crate::region::RegionSet;
use crate::zone::{Distance, Map};
use std::fmt;

/// Why a zone may not serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneDenial {
    /// The zone is evacuated.
    Evacuated,
    /// The zone's region is not among the allowed regions of the request.
    RegionNotAllowed,
}

impl fmt::Display for ZoneDenial {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Evacuated => "its zone is evacuated; end the evacuation to use it again",
            Self::RegionNotAllowed => {
                "its region is not allowed; allow it for the route and the tenant"
            }
        })
    }
}

/// Decides which zones may serve one request.
#[derive(Clone, Copy, Debug)]
pub struct ZoneRule<'a> {
    /// The zones of the deployment.
    pub map: &'a Map,
    /// The known evacuations.
    pub evacuations: &'a Evacuations,
    /// Regions that both the route and the tenant of the request allow.
    pub allowed_regions: &'a RegionSet,
    /// Zone that the request is dispatched from.
    pub from_zone: &'a str,
}

impl ZoneRule<'_> {
    /// Returns the distance to a zone that may serve the request. Callers prefer the nearest.
    ///
    /// # Errors
    /// Servers of the zone may not serve the request.
    pub fn serving_distance(&self, zone: &str) -> Result<Distance, ZoneDenial> {
        if !self.may_store(zone) {
            return Err(ZoneDenial::RegionNotAllowed);
        }
        if self.evacuations.is_evacuated(zone) {
            return Err(ZoneDenial::Evacuated);
        }
        Ok(self.map.distance(self.from_zone, zone))
    }

    /// Whether the data of the request may be stored in a zone. An evacuation applies to servers
    /// only: daemons in the zone keep the data that they store.
    pub fn may_store(&self, zone: &str) -> bool {
        let region = self.map.region(zone).map(|region| &**region);
        self.allowed_regions.contains(region)
    }
}
