//! Which daemons live, and what they tell each other in passing.
//!
//! A SWIM failure detector (Das, Gupta and Motivala, 2002) with incarnations
//! and suspicion, without I/O: the owner feeds packets and time and sends the
//! packets that come back. Facts ride on the detector's packets: members, the
//! configuration's version and leaving machines.

mod detector;
mod fact;
mod gossip;
mod settings;
mod table;

pub use detector::{Detector, Outgoing};
pub use fact::{Fact, LeavingMachine, Member, MemberState};
pub use gossip::{Packet, Question};
pub use settings::{Settings, SettingsError};
pub use table::FactTable;
