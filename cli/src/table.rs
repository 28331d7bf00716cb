//! Tables for people.

use std::fmt;

use serde_json::Value;

/// Spaces between columns.
const GAP: &str = "  ";

/// Rows of cells under a header.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Table {
    header: Vec<String>,
    /// Each row has a cell for each column.
    rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table.
    pub fn new<S: Into<String>>(header: impl IntoIterator<Item = S>) -> Self {
        Self {
            header: header.into_iter().map(Into::into).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    ///
    /// # Panics
    ///
    /// Panics when the row has not a cell for each column.
    pub fn add<S: Into<String>>(&mut self, row: impl IntoIterator<Item = S>) {
        let row: Vec<String> = row.into_iter().map(Into::into).collect();
        assert_eq!(row.len(), self.header.len(), "a cell for each column");
        self.rows.push(row);
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths: Vec<usize> = self
            .header
            .iter()
            .map(|cell| cell.chars().count())
            .collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        widths
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        let header = self.header.iter().map(|cell| cell.to_uppercase()).collect();
        for row in std::iter::once(&header).chain(&self.rows) {
            let cells = row.iter().zip(&widths);
            let padded: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            let line = padded.join(GAP);
            if !line.is_empty() {
                writeln!(f, "{}", line.trim_end())?;
            }
        }
        Ok(())
    }
}

/// A JSON value as a cell; characters that would break the table are replaced.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.replace(char::is_control, " "),
        Value::Array(values) if values.is_empty() => "-".to_owned(),
        Value::Array(values) => values.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
