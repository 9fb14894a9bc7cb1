//! Decisions about requests, without I/O: which route a request takes, which
//! server may serve it, and whether it may be sent again.
//!
//! - [`config`]: the traffic configuration: routes, services, limits.
//! - [`tenants`]: whose request it is.
//! - [`residency`]: regions that may serve a request and keep its data.
//! - [`quota`]: what tenants may still send, as the owner of their limits counts it.
//! - [`sliding_window`]: counting what was sent in a sliding window.
//! - [`fallback_quota`]: what one daemon may send of it while no owner can be asked.
//! - [`route_table`]: looking up a request's route and tenant.
//! - [`round_robin`]: dividing a route's requests among weighted services.
//! - [`directory`]: which servers exist and which of them are leaving.
//! - [`cold`]: which servers bear only a few requests for now.
//! - [`health`]: leaving a failing server alone and trying it again.
//! - [`buffer_memory`]: the memory that is spent on peers that are slow to read.
//! - [`idle_limit`]: how long an idle connection may rest.
//! - [`groups`]: which engines the owner of a partition assigns.
//! - [`assignment`]: the engine at which a program's turns run.
//! - [`hash_ring`]: servers in an order that all daemons know alike.
//! - [`candidates`]: which servers are weighed for a request.
//! - [`balance`]: choosing a server for one attempt.
//! - [`quota_wait`]: waiting for a place that comes free at a known time.
//! - [`attempt_timeout`]: how long an attempt is waited for.
//! - [`attempt`]: what may follow a failed attempt.
//! - [`retry_budget`]: how many attempts a daemon may repeat over all its requests.

pub mod assignment;
pub mod attempt;
pub mod attempt_timeout;
pub mod balance;
pub mod buffer_memory;
pub mod candidates;
pub mod cold;
pub mod config;
pub mod directory;
pub mod fallback_quota;
pub mod groups;
pub mod hash_ring;
pub mod health;
pub mod idle_limit;
pub mod quota;
pub mod quota_wait;
pub mod residency;
pub mod retry_budget;
pub mod round_robin;
pub mod route_table;
pub mod silence;
pub mod sliding_window;
pub mod tenants;
