//! Zones, regions and evacuations: which zones may serve a request and store its data.
//!
//! This crate does no I/O. The design and its alternatives are in docs/design/places.md.
//!
//! - [`zone`]: zones, their regions, and the distance between two zones.
//! - [`region`]: sets of regions that data may be stored in.
//! - [`evacuation`]: zones whose servers receive no requests for now.
//! - [`freshness`]: whether the known evacuations are recent enough to act on.
//! - [`zone_rule`]: which zones may serve a request or store its data, nearest first.

pub mod evacuation;
pub mod freshness;
pub mod region;
pub mod zone;
pub mod zone_rule;
