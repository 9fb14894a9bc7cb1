//! Scripted behavior of stand-in servers.

use fieldhook_emulator::endless::Endless;
use std::time::Duration;

/// How a stand-in server handles a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Respond with this status and body.
    Answer(u16, String),
    /// Respond with a body of this size, sent in pieces.
    Large(usize),
    /// Respond that the request was not run.
    NotRun,
    /// Respond to the first request that it was not run, and run all others. A copy of that response
    /// arrives once more, late, in the place of the next response on its connection.
    NotRunOnceWithLateCopy(String),
    /// Respond without the id of the request that it was not run.
    NotRunWithoutId,
    /// Respond that the request was not run, but leave out the body.
    NotRunTruncated,
    /// Reset the connection after reading the request.
    Reset,
    /// Send as many bytes of the head of a response as the number at the end of the target says, then
    /// these bytes, and close the connection. The head announces the close if the flag is set.
    Truncated(bool, &'static str),
    /// Send a response to another request first, then the response to this one.
    OtherResponseFirst(String),
    /// Respond without a length, announce that the connection will close, and end the body by a close,
    /// or by a reset if the flag is set.
    Unframed(String, bool),
    /// Send a stream of events with these texts, starting after the event that the request names.
    /// Break off within the event with the given number.
    Events(Vec<String>, Option<usize>),
    /// Send a stream of events with these texts. Break off within the event with the given number,
    /// unless the request resumes a stream.
    BreakUnlessResumed(Vec<String>, usize),
    /// Respond with these bytes as the complete body, which need not be valid events.
    RawStream(String),
    /// Send these bytes, in which `{id}` stands for the id of the request, and then the response with
    /// this body.
    Before(&'static str, String),
    /// Respond with these pieces of a stream, with a pause between them.
    RawPieces(Vec<String>),
    /// Send events with these texts and a pause before each, starting after the event that the
    /// request names.
    Paced(Vec<String>, Duration),
    /// Reset the connection this long after reading the request.
    ResetAfter(Duration),
    /// Send bytes that are not the response and do not end, until the connection is closed.
    Endless(Endless),
    /// Read the request and do not respond, nor state which process it is.
    Silent,
    /// Read the request and do not respond.
    Unresponsive,
    /// Respond after a delay.
    Slow(Duration, String),
}
