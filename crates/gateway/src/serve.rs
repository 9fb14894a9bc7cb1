//! Clients' connections and requests.
//!
//! Place in the request path: first. [`listener`] accepts, [`connection`] reads
//! requests one after another ([`client`]; [`writer`] sends what answers them), [`request`] decides what a request may do: whose it is
//! ([`admission`]), where it may be served and kept ([`homes`]) and whether its tenant may
//! send it ([`quota`]);
//! [`buffered`] and [`stream`] bring its answer by attempts ([`dispatch`], [`retry`];
//! [`choice`] of a server, `cold` where it bears only a few, [`open`] where its place is),
//! which [`response_times`] says how long to wait for, with [`opening`] before and [`turn`] around a turn of a program
//! and `record` at its end.

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod buffered;
pub mod choice;
pub mod client;
mod cold;
pub mod connection;
pub mod dispatch;
pub mod homes;
pub mod listener;
pub mod open;
pub mod opening;
pub mod quota;
mod record;
pub mod request;
pub mod response_times;
pub mod retry;
pub mod stream;
pub mod turn;
mod watch;
pub mod writer;
