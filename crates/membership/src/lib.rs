//! Group membership and dissemination of facts between daemons.
//!
//! A member is a daemon process as the other daemons know it.
//!
//! A SWIM failure detector (Das, Gupta and Motivala, 2002) with incarnations and suspicion, and
//! without I/O: the caller passes in received packets and the time, and sends the packets that are
//! returned. The detector's packets also carry facts: members, the offset up to which a daemon has
//! applied the configuration, and engines and servers that are leaving.

mod detector;
mod fact;
mod gossip;
mod settings;
mod table;

pub use detector::{Detector, Outgoing};
pub use fact::{Fact, LeavingMachine, Member, MemberState};
pub use gossip::{Message, Packet};
pub use settings::{Settings, SettingsError};
pub use table::FactTable;
