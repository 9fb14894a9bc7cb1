//! Printing tables and JSON.

use serde::Serialize;

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Aligned columns.
    Table,
    /// JSON.
    Json,
}

impl Form {
    /// `json`, or else a table.
    pub fn parse(text: &str) -> Self {
        if text == "json" {
            Self::Json
        } else {
            Self::Table
        }
    }
}

/// Prints a value as JSON, or rows as a table.
pub fn print<T: Serialize>(form: Form, value: &T, head: &[&str], rows: &[Vec<String>]) {
    match form {
        Form::Json => println!(
            "{}",
            serde_json::to_string_pretty(value).unwrap_or_default()
        ),
        Form::Table => print_table(head, rows),
    }
}

fn print_table(head: &[&str], rows: &[Vec<String>]) {
    let widths: Vec<usize> = head
        .iter()
        .enumerate()
        .map(|(column, title)| {
            let cells = rows
                .iter()
                .filter_map(|row| row.get(column))
                .map(String::len);
            cells.max().unwrap_or(0).max(title.len())
        })
        .collect();
    print_row(
        &head
            .iter()
            .map(|title| title.to_string())
            .collect::<Vec<_>>(),
        &widths,
    );
    for row in rows {
        print_row(row, &widths);
    }
}

fn print_row(cells: &[String], widths: &[usize]) {
    let padded = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"));
    println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
}
