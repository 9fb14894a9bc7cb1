//! The events of a stream between the server, from which they are read, and the client, to which they
//! are sent.

use crate::http::events::{EndlessInput, Event, EventDecoder};

/// Position in a stream: either up to which events were read, or up to which they were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Id of the last event.
    pub last_event: Option<u64>,
    /// Number of events with data that may follow it, if it is limited.
    pub data_events_left: Option<u64>,
}

/// Events that were read and not yet sent.
#[derive(Debug, Default)]
pub struct Batch {
    /// The events, with comments among them.
    pub events: Vec<Event>,
    /// Number of events that are no comments.
    pub count: usize,
    /// Size of the events in bytes.
    pub bytes: usize,
    /// Position after the last event.
    pub position: Position,
}

/// Why the events of a server are not passed on any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidEvents {
    /// An event is missing.
    Gap,
    /// An event does not end, or bytes that are no event do not.
    Endless,
    /// There are more tokens than the client asked for.
    Excess,
}

impl InvalidEvents {
    /// Value of the log field `cause`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Gap => "gap",
            Self::Endless => "endless",
            Self::Excess => "excess",
        }
    }
}

impl From<EndlessInput> for InvalidEvents {
    fn from(_: EndlessInput) -> Self {
        Self::Endless
    }
}

#[derive(PartialEq, Eq)]
enum Order {
    Next,
    Duplicate,
    Gap,
}

impl Position {
    /// Compares an event with the last one. Ids increase by one; events that the client already has
    /// are skipped.
    fn order(&self, event: &Event) -> Order {
        match (event.id, self.last_event) {
            (Some(id), Some(last)) if id <= last => Order::Duplicate,
            (Some(id), Some(last)) if id > last + 1 => Order::Gap,
            _ => Order::Next,
        }
    }
}

impl Batch {
    /// Creates an empty batch of events that follow this position.
    pub fn after(position: Position) -> Self {
        Self {
            position,
            ..Self::default()
        }
    }

    /// Moves the complete events of a decoder to the batch.
    ///
    /// # Errors
    /// An event is not valid; those before it are in the batch.
    pub fn read_from(&mut self, decoder: &mut EventDecoder) -> Result<(), InvalidEvents> {
        while let Some(event) = decoder.next_event()? {
            let order = self.position.order(&event);
            let is_progress = event.has_content() && order == Order::Next;
            decoder.record_progress(&event, is_progress)?;
            match order {
                Order::Next => self.push(event)?,
                Order::Duplicate => {}
                Order::Gap => return Err(InvalidEvents::Gap),
            }
        }
        Ok(())
    }

    fn push(&mut self, event: Event) -> Result<(), InvalidEvents> {
        if event.data.is_some()
            && let Some(left) = &mut self.position.data_events_left
        {
            *left = left.checked_sub(1).ok_or(InvalidEvents::Excess)?;
        }
        self.position.last_event = event.id.or(self.position.last_event);
        self.count += usize::from(event.has_content());
        self.bytes += event.raw.len();
        self.events.push(event);
        Ok(())
    }

    /// Removes the comments at the end: the stream may go on at another server, whose response they
    /// don't belong to.
    pub fn remove_trailing_comments(&mut self) {
        let last = self.events.iter().rposition(Event::has_content);
        let comments = self.events.split_off(last.map_or(0, |last| last + 1));
        self.bytes -= comments.iter().map(|event| event.raw.len()).sum::<usize>();
    }
}
