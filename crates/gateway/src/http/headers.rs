//! Header fields, with order and spelling preserved.

/// Hop-by-hop fields, which are never forwarded.
const HOP_BY_HOP_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a line, without its line ending, is a field: a name of the characters that HTTP allows, a
/// colon, and a value without control characters.
pub fn is_field_line(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    !name.is_empty() && name.iter().all(is_name_byte) && value.iter().all(is_value_byte)
}

/// A character of a token (RFC 9110, section 5.6.2).
fn is_name_byte(byte: &u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte)
}

/// A character of a field value (RFC 9110, section 5.5).
fn is_value_byte(byte: &u8) -> bool {
    *byte == b'\t' || !byte.is_ascii_control()
}

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name as received.
    pub name: String,
    /// Value without surrounding whitespace.
    pub value: Vec<u8>,
}

/// Header fields of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<Field>,
}

impl Headers {
    /// Appends a field.
    pub fn append(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.fields.push(Field {
            name: name.to_owned(),
            value: value.into(),
        });
    }

    /// Replaces all fields of this name with a single one.
    pub fn set(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.remove(name);
        self.append(name, value);
    }

    /// Removes all fields of this name.
    pub fn remove(&mut self, name: &str) {
        self.fields
            .retain(|field| !field.name.eq_ignore_ascii_case(name));
    }

    /// Returns the first value of this name if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        let field = self
            .fields
            .iter()
            .find(|field| field.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&field.value).ok()
    }

    /// Returns all values of this name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.fields
            .iter()
            .filter(move |field| field.name.eq_ignore_ascii_case(name))
            .map(|field| field.value.as_slice())
    }

    /// Returns whether a field of this name exists.
    pub fn has(&self, name: &str) -> bool {
        self.get_all(name).next().is_some()
    }

    /// Returns all fields in order.
    pub fn fields(&self) -> &[Field] {
        &self.fields
    }

    /// Returns whether a comma-separated field contains this token.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name).any(|value| {
            std::str::from_utf8(value).is_ok_and(|text| {
                text.split(',')
                    .any(|item| item.trim().eq_ignore_ascii_case(token))
            })
        })
    }

    /// Removes all hop-by-hop fields, including those listed in `Connection`.
    pub fn remove_hop_by_hop_fields(&mut self) {
        let named: Vec<String> = self
            .get_all("connection")
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|text| text.split(','))
            .map(|item| item.trim().to_ascii_lowercase())
            .collect();
        self.fields.retain(|field| {
            let name = field.name.to_ascii_lowercase();
            !HOP_BY_HOP_FIELDS.contains(&name.as_str()) && !named.contains(&name)
        });
    }
}
