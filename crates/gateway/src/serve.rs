//! Clients' connections and requests.
//!
//! Place in the request path: first. [`listener`] accepts, [`connection`] reads
//! requests one after another, [`request`] decides what a request may do: whose it is
//! ([`admission`]) and whether its tenant may send it ([`quota`]);
//! [`buffered`] and [`stream`] bring its answer by attempts ([`dispatch`], [`retry`]),
//! which [`answer_times`] says how long to wait for, with [`turn`] around a turn of a
//! program.

pub mod admission;
pub mod answer;
pub mod answer_times;
pub mod buffered;
pub mod client;
pub mod connection;
pub mod dispatch;
pub mod listener;
pub mod quota;
pub mod request;
pub mod retry;
pub mod stream;
pub mod turn;
mod watch;
