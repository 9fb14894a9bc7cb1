//! The gateway with a log in memory, an adapter of its own spelling, and stand-ins of
//! servers on loopback.

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
mod outage;
mod ownership;
mod peers;
mod readers;
mod relay;
mod room;
mod slow_peers;
mod store;
mod support;
mod tenants;
mod turns;
mod unreadable_partitions;
mod zones;
