//! Tables of text, with names that were received from the network.

/// Maximum number of characters of a name that are printed. Names of accounts may have 10 KB, and one
/// of them must not push the figures of all others out of sight.
const MAX_NAME_CHARS: usize = 40;

/// Numbers from here on are printed with an exponent. A host may report up to 1e308, which has 309
/// digits.
const MAX_PLAIN_NUMBER: f64 = 1e9;

/// A table whose columns are as wide as their widest cell.
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with a header.
    pub(crate) fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|&cell| cell.to_owned()).collect();
        Self { rows: vec![header] }
    }

    /// Adds a row.
    pub(crate) fn add(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Returns the lines of the table.
    pub(crate) fn to_text(&self) -> String {
        let columns = self.rows.first().map_or(0, Vec::len);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        let lines = self.rows.iter().map(|row| format_row(row, &widths));
        lines.collect()
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        let widths = cells.map(|cell| cell.chars().count());
        widths.max().unwrap_or(0)
    }
}

fn format_row(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let padded: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}

/// Returns a name with its control characters escaped and truncated to [`MAX_NAME_CHARS`].
pub(crate) fn printable_name(name: &str) -> String {
    // An escaped character has at least one character, so that no more than these are needed.
    let start: String = name.chars().take(MAX_NAME_CHARS + 1).collect();
    let escaped: String = start.escape_debug().collect();
    if escaped.chars().count() <= MAX_NAME_CHARS {
        return escaped;
    }
    let kept: String = escaped.chars().take(MAX_NAME_CHARS).collect();
    format!("{kept}...")
}

/// Returns a number with one decimal place.
pub(crate) fn printable_number(number: f64) -> String {
    if number.abs() < MAX_PLAIN_NUMBER {
        format!("{number:.1}")
    } else {
        format!("{number:.1e}")
    }
}

#[cfg(test)]
mod tests;
