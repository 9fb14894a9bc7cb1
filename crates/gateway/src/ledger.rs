//! Ownership of the ledger partitions, and the client that sends requests to their owners.
//!
//! Owner side:
//!
//! - [`owner`]: the partitions that this daemon owns. `held` takes one of them from its claim to
//!   its loss, `served` answers requests for it, `release` gives it up in a planned stop.
//! - [`load`]: reads a claimed partition from the log.
//! - [`assigner`]: assigns engines to the programs of owned partitions.
//! - `limits`: counts requests against the limits of tenants and cold servers.
//!
//! Client side:
//!
//! - [`client`]: opens and closes turns while owners may change. `exchange` sends one request to
//!   an owner, `replace` finds or becomes the next owner, `closing` closes turns in the
//!   background.
//! - `streams`: records and looks up which server began a stream.
//! - [`quota`]: requests admission under the limit of a tenant.
//! - [`peer`]: connections between daemons.
//!
//! Both sides:
//!
//! - `cold`: admission of requests to cold servers, counted by an owner that holds a lease.
//! - [`crashes`]: asks the owner of a request under which servers ended. `crash_count` is that owner's
//!   side; it asks the `followers` of detached attempts, who get [`attempt_questions`].
//! - `suspected_requests`: requests that wait for the next owner of their partition.
//! - [`own_attempts`]: backs up the attempts of this daemon at another one. [`backups`] has those of
//!   others.
//! - [`homes`]: home partitions, which only daemons of their region may own. `region` deals with
//!   their owners as seen from other regions.
//! - [`reach`]: detects whether the log is down or this daemon is cut off.

pub mod assigner;
pub mod attempt_questions;
pub mod backups;
pub mod client;
mod closing;
mod cold;
mod crash_count;
pub mod crashes;
mod exchange;
mod followers;
mod held;
pub mod homes;
mod limits;
pub mod load;
pub mod own_attempts;
pub mod owner;
pub mod peer;
pub mod quota;
pub mod reach;
mod region;
mod release;
mod replace;
mod served;
mod streams;
mod suspected_requests;
