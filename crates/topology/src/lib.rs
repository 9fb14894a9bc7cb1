//! Where machines stand, which places may serve a request, and which are closed.
//! Without I/O; docs/design/places.md tells what was weighed.
//!
//! - [`zone`]: zones, the regions that they belong to, and how far two zones are apart.
//! - [`region`]: sets of regions that data may stay in.
//! - [`evacuation`]: zones whose servers get nothing for now.
//! - [`freshness`]: whether what is known of them is recent enough to act on.
//! - [`zone_rule`]: which places may serve a request or hold its data, and in which order.

pub mod evacuation;
pub mod freshness;
pub mod region;
pub mod zone;
pub mod zone_rule;
