//! What this daemon knows of places: the zones of the deployment, and which are evacuated.
//! docs/design/places.md tells who decides and what happens when the log is away.

use crate::settings::GatewaySettings;
use fieldhook_ledger::layout::Layout;
use fieldhook_ledger::message::EvacuationStatus;
use fieldhook_topology::evacuation::{Evacuations, State};
use fieldhook_topology::freshness::Freshness;
use fieldhook_topology::region::RegionSet;
use fieldhook_topology::zone::ZoneMap;
use fieldhook_topology::zone_rule::ZoneRule;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::time::Instant;

/// Places as one daemon knows them.
pub struct ZoneState {
    /// Zone of this daemon.
    pub zone: Rc<str>,
    /// The zones of the deployment.
    pub map: ZoneMap,
    /// Which partition keeps what.
    pub layout: Layout,
    /// Regions that the configuration in force names as homes.
    home_regions: RefCell<BTreeSet<Rc<str>>>,
    evacuations: RefCell<Evacuations>,
    belief: RefCell<Freshness>,
    all_evacuated: Cell<bool>,
    started: Instant,
}

impl ZoneState {
    /// Places by the settings, nothing evacuated.
    pub fn new(settings: &GatewaySettings) -> Self {
        Self {
            zone: Rc::from(settings.zone.as_str()),
            map: settings.zones.clone(),
            layout: Layout::new(settings.partitions, &settings.zones),
            home_regions: RefCell::default(),
            evacuations: RefCell::default(),
            belief: RefCell::new(Freshness::new(settings.bounds.evacuation_ms)),
            all_evacuated: Cell::new(false),
            started: Instant::now(),
        }
    }

    /// Region of this daemon, where it was told.
    pub fn region(&self) -> Option<&Rc<str>> {
        self.map.region(&self.zone)
    }

    /// Takes in the regions that the configuration names as homes.
    pub fn set_home_regions(&self, regions: BTreeSet<Rc<str>>) {
        self.home_regions.replace(regions);
    }

    /// Whether the configuration names a region as a home.
    pub fn is_home_region(&self, region: &str) -> bool {
        self.home_regions.borrow().contains(region)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Decides by the rule of a request whose data may stay in `homes` and that comes through
    /// `from`.
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

    /// Whether servers of a zone get nothing.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.borrow().is_evacuated(zone)
    }

    /// For how long this daemon knows that a zone which was evacuated takes part again, in
    /// milliseconds.
    pub fn ms_since_reopened(&self, zone: &str) -> Option<u64> {
        let since_ms = self.evacuations.borrow().opened_since_ms(zone)?;
        Some(self.now_ms().saturating_sub(since_ms))
    }

    /// Takes in a record of the operator, read at a revision or told by another daemon.
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

    /// Takes in which zones a listing of the operator's records names, read where the topic
    /// ended at `end`.
    pub fn apply_listing(&self, listed: &[&str], end: u64) {
        let now_ms = self.now_ms();
        let opened = self
            .evacuations
            .borrow_mut()
            .apply_listing(listed, end, now_ms);
        for zone in opened {
            tracing::info!(event = "zone_evacuation", zone = &*zone, state = ?State::Open,
                revision = end, source = "listing");
            self.log_all_evacuated();
        }
    }

    /// Says once that no server may serve any more, and once that some may again.
    fn log_all_evacuated(&self) {
        let evacuations = self.evacuations.borrow();
        let mut zones = self.map.zones().peekable();
        let is_told = zones.peek().is_some();
        let all = is_told && zones.all(|zone| evacuations.is_evacuated(zone));
        if self.all_evacuated.replace(all) == all {
            return;
        }
        match all {
            true => tracing::error!(
                event = "all_zones_evacuated",
                "no server may serve: every request is refused; withdraw an evacuation"
            ),
            false => tracing::info!(event = "not_all_zones_evacuated"),
        }
    }

    /// The process runs, and what it knows was the newest `age_ms` ago.
    pub fn record_run(&self, age_ms: u64) {
        let now_ms = self.now_ms();
        if self.belief.borrow_mut().record_run(now_ms, age_ms) {
            tracing::warn!(
                event = "process_was_stopped",
                age_ms,
                "what it knows of evacuations is confirmed before anything is sent"
            );
        }
    }

    /// Others were heard who know no more.
    pub fn confirm(&self) {
        self.belief.borrow_mut().accept_unconfirmed();
    }

    /// Whether what is known is too old to send anything by it.
    pub fn is_evacuation_state_stale(&self, age_ms: u64, is_isolated: bool) -> bool {
        let now_ms = self.now_ms();
        let belief = self.belief.borrow();
        belief.is_stale(now_ms, age_ms, is_isolated)
    }

    /// All that is known of evacuations, for daemons that cannot read it themselves.
    pub fn statuses(&self) -> Vec<EvacuationStatus> {
        let evacuations = self.evacuations.borrow();
        let news = evacuations.records().map(|record| EvacuationStatus {
            zone: record.zone.to_string(),
            is_evacuated: record.state == State::Evacuated,
            revision: record.revision,
        });
        news.collect()
    }

    /// Takes in what another daemon knows.
    pub fn apply_peer_status(&self, news: &EvacuationStatus) {
        let state = match news.is_evacuated {
            true => State::Evacuated,
            false => State::Open,
        };
        self.apply(&news.zone, state, news.revision, "peer");
    }
}
