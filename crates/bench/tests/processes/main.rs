//! Real processes under load and faults. One test at a time, so that each has
//! the machine to itself.

mod configuration;
mod evacuation;
mod faults;
mod input;
mod ports;
mod support;
