//! How long answers take, by route: what is overdue is learned from what came.

use fieldhook_log::round_trip::RoundTrip;
use fieldhook_traffic::overdue;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// Answer times of the routes that were used.
#[derive(Default)]
pub struct ResponseTimes {
    routes: RefCell<HashMap<String, RoundTrip>>,
}

impl ResponseTimes {
    /// Takes in how long a whole answer took.
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

    /// The time after which an answer is later than usual.
    pub fn overdue_after(&self, route: &str) -> Duration {
        let routes = self.routes.borrow();
        routes.get(route).map_or_else(
            || RoundTrip::default().overdue_after(),
            RoundTrip::overdue_after,
        )
    }

    /// How long an attempt is waited for, if it should be given up for another at all.
    pub fn wait(&self, route: &str, left: Duration) -> Option<Duration> {
        overdue::wait(self.overdue_after(route), left)
    }

    /// Forgets routes that `known` does not name.
    pub fn retain(&self, known: &dyn Fn(&str) -> bool) {
        self.routes.borrow_mut().retain(|route, _| known(route));
    }
}
