//! Response times per route, from which the gateway estimates when a response is overdue. The same
//! type holds the gaps between the events of streams.

use fieldhook_log::round_trip::RoundTrip;
use fieldhook_traffic::attempt_timeout;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// Response times of all routes in use.
#[derive(Default)]
pub struct ResponseTimes {
    routes: RefCell<HashMap<String, RoundTrip>>,
}

impl ResponseTimes {
    /// Records the time that a complete response took.
    pub fn observe(&self, route: &str, took: Duration) {
        let mut routes = self.routes.borrow_mut();
        match routes.get(route) {
            Some(times) => times.observe(took),
            None => {
                let times = RoundTrip::default();
                times.observe(took);
                routes.insert(route.to_owned(), times);
            }
        }
    }

    /// Time after which a response is overdue, that is, later than usual.
    pub fn overdue_after(&self, route: &str) -> Duration {
        let routes = self.routes.borrow();
        routes.get(route).map_or_else(
            || RoundTrip::default().overdue_after(),
            RoundTrip::overdue_after,
        )
    }

    /// Timeout of an attempt, or `None` if another one could not be expected to finish in time.
    pub fn attempt_timeout(&self, route: &str, remaining: Duration) -> Option<Duration> {
        attempt_timeout::attempt_timeout(self.overdue_after(route), remaining)
    }

    /// Removes routes for which `known` returns false.
    pub fn retain(&self, known: &dyn Fn(&str) -> bool) {
        self.routes.borrow_mut().retain(|route, _| known(route));
    }
}
