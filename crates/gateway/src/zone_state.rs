//! The zones of the deployment as this daemon knows them, and which of them are evacuated.
//! The operator evacuates and reopens zones by records in the log. docs/design/places.md describes
//! this, and what happens while the log is unreachable.

use crate::settings::GatewaySettings;
use fieldhook_ledger::layout::Layout;
use fieldhook_ledger::message::EvacuationStatus;
use fieldhook_topology::evacuation::{Evacuations, State};
use fieldhook_topology::freshness::Freshness;
use fieldhook_topology::region::RegionSet;
use fieldhook_topology::zone::Map;
use fieldhook_topology::zone_rule::ZoneRule;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::time::Instant;

/// Zones, home regions and evacuations known to one daemon.
pub struct ZoneState {
    /// Zone of this daemon.
    pub zone: Rc<str>,
    /// The zones of the deployment.
    pub map: Map,
    /// Mapping of keys to ledger partitions.
    pub layout: Layout,
    /// Regions that the current configuration names as homes.
    home_regions: RefCell<BTreeSet<Rc<str>>>,
    evacuations: RefCell<Evacuations>,
    freshness: RefCell<Freshness>,
    all_evacuated: Cell<bool>,
    started: Instant,
}

impl ZoneState {
    /// Creates the state from the settings, with no zone evacuated.
    pub fn new(settings: &GatewaySettings) -> Self {
        Self {
            zone: Rc::from(settings.zone.as_str()),
            map: settings.zones.clone(),
            layout: Layout::new(settings.partitions, &settings.zones),
            home_regions: RefCell::default(),
            evacuations: RefCell::default(),
            freshness: RefCell::new(Freshness::new(settings.bounds.evacuation_ms)),
            all_evacuated: Cell::new(false),
            started: Instant::now(),
        }
    }

    /// Returns the region of this daemon, if the settings name one for its zone.
    pub fn region(&self) -> Option<&Rc<str>> {
        self.map.region(&self.zone)
    }

    /// Sets the regions that the configuration names as homes.
    pub fn set_home_regions(&self, regions: BTreeSet<Rc<str>>) {
        self.home_regions.replace(regions);
    }

    /// Returns whether the configuration names a region as a home.
    pub fn is_home_region(&self, region: &str) -> bool {
        self.home_regions.borrow().contains(region)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Calls `decide` with the zone rule of a request whose data may be kept in the regions `homes`
    /// and that arrived in the zone `from`.
    pub fn with_rule<T>(
        &self,
        homes: &RegionSet,
        from: &str,
        decide: impl FnOnce(&ZoneRule<'_>) -> T,
    ) -> T {
        let evacuations = self.evacuations.borrow();
        decide(&ZoneRule {
            map: &self.map,
            evacuations: &evacuations,
            allowed_regions: homes,
            from_zone: from,
        })
    }

    /// Returns whether a zone is evacuated: its servers get no requests.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.borrow().is_evacuated(zone)
    }

    /// Returns how long ago this daemon learned that an evacuated zone was reopened, in
    /// milliseconds.
    pub fn ms_since_reopened(&self, zone: &str) -> Option<u64> {
        let since_ms = self.evacuations.borrow().opened_since_ms(zone)?;
        Some(self.now_ms().saturating_sub(since_ms))
    }

    /// Applies an evacuation record, read from the log at `revision` or received from a peer.
    pub fn apply(&self, zone: &str, state: State, revision: u64, source: &'static str) {
        let now_ms = self.now_ms();
        let is_change = self
            .evacuations
            .borrow_mut()
            .apply(zone, state, revision, now_ms);
        if is_change {
            tracing::info!(event = "zone_evacuation", zone, ?state, revision, source);
            self.log_all_evacuated();
        }
    }

    /// Reopens the zones that a complete listing of evacuation records no longer names. `end` is
    /// the end offset of the topic at the time of the listing.
    pub fn apply_listing(&self, listed: &[&str], end: u64) {
        let now_ms = self.now_ms();
        let reopened = self
            .evacuations
            .borrow_mut()
            .apply_listing(listed, end, now_ms);
        for zone in reopened {
            tracing::info!(event = "zone_evacuation", zone = &*zone, state = ?State::Open,
                revision = end, source = "listing");
            self.log_all_evacuated();
        }
    }

    /// Logs once when all zones become evacuated, and once when they no longer are.
    fn log_all_evacuated(&self) {
        let evacuations = self.evacuations.borrow();
        let mut zones = self.map.zones().peekable();
        let has_zones = zones.peek().is_some();
        let all = has_zones && zones.all(|zone| evacuations.is_evacuated(zone));
        if self.all_evacuated.replace(all) == all {
            return;
        }
        match all {
            true => tracing::error!(
                event = "all_zones_evacuated",
                "all zones are evacuated and every request is refused; withdraw an evacuation"
            ),
            false => tracing::info!(event = "not_all_zones_evacuated"),
        }
    }

    /// Called periodically to detect that the process was paused; the log last confirmed the state
    /// `age_ms` ago. Logs a warning if the process was paused since the last call.
    pub fn record_run(&self, age_ms: u64) {
        let now_ms = self.now_ms();
        if self.freshness.borrow_mut().record_run(now_ms, age_ms) {
            tracing::warn!(
                event = "process_was_stopped",
                age_ms,
                "the process was suspended; evacuations are confirmed before requests are sent"
            );
        }
    }

    /// Accepts the known evacuations although the log did not confirm them: other daemons have
    /// answered and know nothing newer.
    pub fn accept_unconfirmed(&self) {
        self.freshness.borrow_mut().accept_unconfirmed();
    }

    /// Returns whether the known evacuations are too old to send requests by them.
    pub fn is_evacuation_state_stale(&self, age_ms: u64, is_isolated: bool) -> bool {
        let now_ms = self.now_ms();
        let freshness = self.freshness.borrow();
        freshness.is_stale(now_ms, age_ms, is_isolated)
    }

    /// Returns all known evacuation records, for daemons that cannot read the log.
    pub fn statuses(&self) -> Vec<EvacuationStatus> {
        let evacuations = self.evacuations.borrow();
        let statuses = evacuations.records().map(|record| EvacuationStatus {
            zone: record.zone.to_string(),
            is_evacuated: record.state == State::Evacuated,
            revision: record.revision,
        });
        statuses.collect()
    }

    /// Applies an evacuation record received from another daemon.
    pub fn apply_peer_status(&self, status: &EvacuationStatus) {
        let state = match status.is_evacuated {
            true => State::Evacuated,
            false => State::Open,
        };
        self.apply(&status.zone, state, status.revision, "peer");
    }
}
