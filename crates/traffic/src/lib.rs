//! Decisions about requests: which route a request takes, which server may serve it, and whether
//! it may be retried. This crate does no I/O.
//!
//! A program is a sequence of requests of one client that belong together, and each of them that
//! an engine runs is a turn. An engine is a server that runs a model.
//! Programs and limits belong to partitions, and the owner of a partition is the daemon that holds
//! its lease. The gateway is the part of a daemon that receives the requests of clients and sends
//! them to servers.
//!
//! - [`config`]: the traffic configuration with routes, services and limits.
//! - [`tenants`]: tenants, their API keys and their rate limits.
//! - [`residency`]: regions that may serve a request and store its data.
//! - [`quota`]: enforces the limits of tenants, at the owner of the tenant's partition.
//! - [`sliding_window`]: a rate limiter over a sliding window.
//! - [`fallback_quota`]: the quota of a daemon that reaches no owner.
//! - [`quota_wait`]: how long a request may wait for quota.
//! - [`route_table`]: looks up the route and the tenant of a request.
//! - [`round_robin`]: distributes the requests of a route over weighted services.
//! - [`directory`]: the known servers, and which of them accept work.
//! - [`process_identity`]: which process listens at the address of a server.
//! - [`server_fate`]: whether a server ended while it handled a request.
//! - [`cold`]: tracks servers that can handle only a few requests after their start.
//! - [`health`]: backoff for failing servers.
//! - [`silence`]: detects servers that are no longer reachable.
//! - [`buffer_memory`]: limits the memory used for data that slow peers have not read.
//! - [`idle_limit`]: how long a connection may be idle before it is no longer reused.
//! - [`groups`]: divides engines into groups for the partitions.
//! - [`assignment`]: assigns the turns of a program to an engine.
//! - [`hash_ring`]: orders servers identically in all daemons.
//! - [`candidates`]: selects the candidate servers for a request.
//! - [`balance`]: chooses a server for one attempt.
//! - [`attempt_timeout`]: the timeout of one attempt.
//! - [`attempt`]: decides what follows a failed attempt.
//! - [`longest_time`]: the longest of the recent response times of a route.
//! - [`planned_stop`]: which requests a daemon that is about to stop may still send.
//! - [`retry_budget`]: limits the retries of a daemon over all its requests.

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
pub mod longest_time;
pub mod planned_stop;
pub mod process_identity;
pub mod quota;
pub mod quota_wait;
pub mod residency;
pub mod retry_budget;
pub mod round_robin;
pub mod route_table;
pub mod server_fate;
pub mod silence;
pub mod sliding_window;
pub mod tenants;
