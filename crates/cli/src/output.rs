//! Output as tables or JSON.

use serde::Serialize;

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned columns.
    Table,
    /// JSON.
    Json,
}

impl OutputFormat {
    /// Parses a format; any text other than `json` selects a table.
    pub fn parse(text: &str) -> Self {
        if text == "json" {
            Self::Json
        } else {
            Self::Table
        }
    }
}

/// Prints a value as JSON, or its rows as a table.
pub fn print<T: Serialize>(format: OutputFormat, value: &T, header: &[&str], rows: &[Vec<String>]) {
    match format {
        OutputFormat::Json => println!(
            "{}",
            serde_json::to_string_pretty(value).unwrap_or_default()
        ),
        OutputFormat::Table => print_table(header, rows),
    }
}

fn print_table(header: &[&str], rows: &[Vec<String>]) {
    let widths: Vec<usize> = header
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
        &header
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
