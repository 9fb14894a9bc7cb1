//! Header fields in the order and spelling they came in.

/// Fields that concern one connection only; they are never passed on.
const CONNECTION_FIELDS: [&str; 9] = [
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

/// One field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name as it came.
    pub name: String,
    /// Value without surrounding blanks.
    pub value: Vec<u8>,
}

/// All fields of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<Field>,
}

impl Headers {
    /// Adds a field behind the others.
    pub fn append(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.fields.push(Field {
            name: name.to_owned(),
            value: value.into(),
        });
    }

    /// Replaces all fields of a name by one.
    pub fn set(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.remove(name);
        self.append(name, value);
    }

    /// Removes all fields of a name.
    pub fn remove(&mut self, name: &str) {
        self.fields
            .retain(|field| !field.name.eq_ignore_ascii_case(name));
    }

    /// The first value of a name as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        let field = self
            .fields
            .iter()
            .find(|field| field.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&field.value).ok()
    }

    /// All values of a name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.fields
            .iter()
            .filter(move |field| field.name.eq_ignore_ascii_case(name))
            .map(|field| field.value.as_slice())
    }

    /// Whether a field of that name is there.
    pub fn has(&self, name: &str) -> bool {
        self.get_all(name).next().is_some()
    }

    /// All fields.
    pub fn fields(&self) -> &[Field] {
        &self.fields
    }

    /// Whether a comma-separated field holds a word.
    pub fn contains_token(&self, name: &str, word: &str) -> bool {
        self.get_all(name).any(|value| {
            std::str::from_utf8(value).is_ok_and(|text| {
                text.split(',')
                    .any(|item| item.trim().eq_ignore_ascii_case(word))
            })
        })
    }

    /// Removes what concerns one connection only, with what `Connection` names.
    pub fn remove_connection_fields(&mut self) {
        let named: Vec<String> = self
            .get_all("connection")
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|text| text.split(','))
            .map(|item| item.trim().to_ascii_lowercase())
            .collect();
        self.fields.retain(|field| {
            let name = field.name.to_ascii_lowercase();
            !CONNECTION_FIELDS.contains(&name.as_str()) && !named.contains(&name)
        });
    }
}
