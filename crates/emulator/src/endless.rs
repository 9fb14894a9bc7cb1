//! Bytes that a server in trouble sends without end, in the place of a response.

/// Kind of the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// Interim responses.
    Interim,
    /// The body of a response to another request.
    OtherResponse,
    /// An event that does not end.
    Event,
    /// Comment lines and empty events.
    Comments,
    /// Events with data, as of a stream that never ends.
    Data,
    /// Trailer lines after the last chunk.
    Trailers,
    /// A body that may be that of a large response.
    Body,
}

/// Head that precedes the bytes. Its body is chunked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Head {
    /// None: the bytes are heads themselves.
    None,
    /// That of the response to the request.
    Own,
    /// That of a response to another request.
    Other,
}

/// Number of repetitions that are sent at once.
const REPETITIONS: usize = 256;

impl Endless {
    /// The kinds that are no response on any route. [`Self::Data`] and [`Self::Body`] may be the
    /// beginning of a large one.
    pub const ALL: [Self; 5] = [
        Self::Interim,
        Self::OtherResponse,
        Self::Event,
        Self::Comments,
        Self::Trailers,
    ];

    /// Head that is sent first.
    pub fn head(self) -> Head {
        match self {
            Self::Interim => Head::None,
            Self::OtherResponse => Head::Other,
            Self::Event | Self::Comments | Self::Data | Self::Trailers | Self::Body => Head::Own,
        }
    }

    /// What is sent once, after the head.
    pub fn beginning(self) -> &'static [u8] {
        match self {
            Self::Event => b"7\r\ndata: x\r\n",
            Self::Trailers => b"0\r\n",
            Self::Interim | Self::OtherResponse | Self::Comments | Self::Data | Self::Body => b"",
        }
    }

    /// What is sent again and again, several thousand bytes.
    pub fn repeated(self) -> Vec<u8> {
        let unit: &[u8] = match self {
            Self::Interim => b"HTTP/1.1 102 Processing\r\n\r\n",
            Self::OtherResponse | Self::Event | Self::Body => b"10\r\nxxxxxxxxxxxxxxxx\r\n",
            Self::Comments => b"10\r\n: comment 12345\n\r\n1\r\n\n\r\n",
            Self::Data => b"10\r\ndata: 12345678\n\n\r\n",
            Self::Trailers => b"Trailer: more\r\n",
        };
        unit.repeat(REPETITIONS)
    }
}
