//! Reads the JSON log lines of daemons from files.
//!
//! A log collector may put the name of the machine before the JSON. Without such a prefix, the
//! origin of a line is the name of its file.

use crate::error::ClientError;
use serde_json::{Map, Value};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, stdin};

const STANDARD_INPUT: &str = "-";

/// A log line of a daemon.
pub struct LogLine {
    /// Machine or file that the line comes from.
    pub origin: String,
    /// Fields of the line.
    pub fields: Map<String, Value>,
}

impl LogLine {
    fn parse(text: &str, file: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields = serde_json::from_str(&text[start..]).ok()?;
        let origin = match text[..start].trim() {
            "" => file,
            prefix => prefix,
        };
        Some(Self {
            origin: origin.to_owned(),
            fields,
        })
    }

    /// Value of a string field; empty if there is none.
    pub fn text(&self, key: &str) -> &str {
        self.fields
            .get(key)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Value of a numeric field.
    pub fn number(&self, key: &str) -> Option<f64> {
        self.fields.get(key).and_then(Value::as_f64)
    }

    /// Time when the line was written.
    pub fn time(&self) -> &str {
        self.text("timestamp")
    }

    /// Name of the event.
    pub fn event(&self) -> &str {
        self.text("event")
    }
}

/// Calls `handle` with each log line of the files, in order; `-` reads standard input. Lines
/// without valid JSON are skipped.
///
/// # Errors
/// A file cannot be read.
pub fn read(files: &[String], mut handle: impl FnMut(LogLine)) -> Result<(), ClientError> {
    for file in files {
        match file.as_str() {
            STANDARD_INPUT => read_lines(stdin().lock(), file, &mut handle),
            path => read_lines(open(path)?, file, &mut handle),
        }
    }
    Ok(())
}

fn open(path: &str) -> Result<BufReader<File>, ClientError> {
    let file = File::open(path).map_err(|error| {
        ClientError::Usage(format!("{path}: {error}; specify readable files, or - "))
    })?;
    Ok(BufReader::new(file))
}

fn read_lines(reader: impl BufRead, file: &str, handle: &mut impl FnMut(LogLine)) {
    for text in reader.split(b'\n').map_while(Result::ok) {
        let text = String::from_utf8_lossy(&text);
        if let Some(line) = LogLine::parse(&text, file) {
            handle(line);
        }
    }
}

/// Files that are read more than once. Standard input is kept in memory.
pub struct LogFiles<'a> {
    files: &'a [String],
    standard_input: Vec<u8>,
}

impl<'a> LogFiles<'a> {
    /// Prepares the files for reading.
    ///
    /// # Errors
    /// Standard input is one of them and cannot be read.
    pub fn new(files: &'a [String]) -> Result<Self, ClientError> {
        let mut standard_input = Vec::new();
        if files.iter().any(|file| file == STANDARD_INPUT) {
            stdin().read_to_end(&mut standard_input).map_err(|error| {
                ClientError::Usage(format!("standard input: {error}; specify files instead"))
            })?;
        }
        Ok(Self {
            files,
            standard_input,
        })
    }

    /// Calls `handle` with each log line, like [`read`].
    ///
    /// # Errors
    /// A file cannot be read.
    pub fn read(&self, mut handle: impl FnMut(LogLine)) -> Result<(), ClientError> {
        for file in self.files {
            match file.as_str() {
                STANDARD_INPUT => read_lines(&self.standard_input[..], file, &mut handle),
                path => read_lines(open(path)?, file, &mut handle),
            }
        }
        Ok(())
    }
}
