//! Tests of the gateway with an in-memory log, a test dialect, and stand-in servers on the loopback
//! interface.

mod abandoned_turns;
mod budget_after_owner_loss;
mod cancellation;
mod cold;
mod evacuation;
mod forwarding;
mod homes;
mod incarnations;
mod input;
mod keep_alive;
mod limits;
mod log_storage;
mod outage;
mod ownership;
mod peers;
mod readers;
mod relay;
mod slow_peers;
mod store;
mod stream_versions;
mod support;
mod tenants;
mod turns;
mod unreadable_partitions;
mod zones;
