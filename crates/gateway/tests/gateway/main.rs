//! The gateway with a log in memory, an adapter of its own spelling, and stand-ins of
//! servers on loopback.

mod forwarding;
mod input;
mod limits;
mod outage;
mod ownership;
mod support;
mod tenants;
mod turns;
mod zones;
