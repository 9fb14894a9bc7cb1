//! Tests with real processes under load and faults. They run one at a time, so that they don't
//! disturb each other's timing.

mod configuration;
mod evacuation;
mod faults;
mod input;
mod ports;
mod support;
