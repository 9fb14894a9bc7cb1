//! Response times per route, from which the gateway estimates when a response is overdue. The same
//! type holds the gaps between the events of streams. A daemon that is about to stop takes a request
//! only if the longest recent response of its route would still be in time.

use fieldhook_log::round_trip::RoundTrip;
use fieldhook_traffic::attempt_timeout;
use fieldhook_traffic::longest_time::LongestTime;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Response times of one route.
#[derive(Default)]
struct RouteTimes {
    usual: RoundTrip,
    longest: LongestTime,
}

/// Response times of all routes in use.
pub struct ResponseTimes {
    routes: RefCell<HashMap<String, RouteTimes>>,
    started: Instant,
}

impl Default for ResponseTimes {
    fn default() -> Self {
        Self {
            routes: RefCell::default(),
            started: Instant::now(),
        }
    }
}

impl ResponseTimes {
    /// Records the time that a complete response took.
    pub fn observe(&self, route: &str, took: Duration) {
        let now_ms = self.now_ms();
        let mut routes = self.routes.borrow_mut();
        if !routes.contains_key(route) {
            routes.insert(route.to_owned(), RouteTimes::default());
        }
        if let Some(times) = routes.get_mut(route) {
            times.usual.observe(took);
            times.longest.observe(now_ms, took);
        }
    }

    /// Longest recent response time, if there was any.
    pub fn longest(&self, route: &str) -> Option<Duration> {
        let routes = self.routes.borrow();
        routes.get(route)?.longest.get(self.now_ms())
    }

    /// Time after which a response is overdue, that is, later than usual.
    pub fn overdue_after(&self, route: &str) -> Duration {
        let routes = self.routes.borrow();
        routes.get(route).map_or_else(
            || RoundTrip::default().overdue_after(),
            |times| times.usual.overdue_after(),
        )
    }

    /// Timeout of an attempt, or `None` if another one could not be expected to finish in time.
    pub fn attempt_timeout(&self, route: &str, remaining: Duration) -> Option<Duration> {
        attempt_timeout::attempt_timeout(self.overdue_after(route), remaining)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Removes routes for which `known` returns false.
    pub fn retain(&self, known: &dyn Fn(&str) -> bool) {
        self.routes.borrow_mut().retain(|route, _| known(route));
    }
}
