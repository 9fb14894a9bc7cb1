//! Client connections and request handling.
//!
//! [`listener`] accepts connections. For each one, [`connection`] reads requests one after another
//! with [`reader`] and sends responses with [`writer`]. [`request`] decides whether a request is
//! allowed: [`admission`] identifies its tenant, [`homes`] the regions that may process it and
//! store its data, and [`quota`] enforces the limit of the tenant. [`local_response`] contains the
//! responses that the gateway generates itself.
//!
//! [`buffered`] and [`stream`] obtain the response in one or more attempts; `event_batch` holds the
//! events of a stream until they are sent. [`dispatch`] makes an
//! attempt: [`selection`] picks a server, `cold` limits requests to cold servers, [`send_check`]
//! verifies that the server may still be used, [`send_permit`] limits requests under which servers
//! ended, and `silence` stops waiting for a server whose
//! machine cannot be reached. [`attempt`] holds the state and the outcome of attempts, and
//! [`attempt_monitor`] determines whether a server ended under one, and [`takeover`] does that for the
//! attempts of daemons that were lost. [`retry`] decides what follows a
//! failed attempt; [`response_times`] determines the timeout of an attempt.
//!
//! [`stream_origin`] keeps a stream at the software that began it, and [`software`] registers the
//! software at which streams begin. For a turn of a program, [`turn_open`] opens it at the ledger,
//! [`turn`] tracks it, and `turn_record` records its result.

pub mod admission;
pub mod attempt;
pub mod attempt_monitor;
pub mod buffered;
mod cold;
pub mod connection;
pub mod content;
pub mod dispatch;
mod event_batch;
pub mod homes;
pub mod listener;
pub mod local_response;
pub mod open_checks;
mod process_check;
pub mod quota;
pub mod reader;
pub mod request;
pub mod response_times;
pub mod retry;
pub mod selection;
pub mod send_check;
pub mod send_permit;
mod server_check;
mod silence;
pub mod software;
pub mod stream;
pub mod stream_origin;
pub mod takeover;
pub mod turn;
pub mod turn_open;
mod turn_record;
pub mod writer;
