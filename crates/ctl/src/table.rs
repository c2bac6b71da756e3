//! A table in plain text, its columns aligned.

use std::io::{self, Write};

const COLUMN_GAP: &str = "  ";

/// Rows of cells; a column is as wide as its widest cell, in characters.
pub(crate) struct Table<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> Table<N> {
    /// Creates a table with a header row.
    pub(crate) fn new(titles: [&str; N]) -> Self {
        Self { rows: vec![titles.map(str::to_owned)] }
    }

    pub(crate) fn push(&mut self, row: [String; N]) {
        self.rows.push(row);
    }

    /// Writes the header and the rows, one a line, without trailing blanks.
    pub(crate) fn write(&self, out: &mut impl Write) -> io::Result<()> {
        let mut widths = [0; N];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        for row in &self.rows {
            let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}"));
            let line = cells.collect::<Vec<_>>().join(COLUMN_GAP);
            writeln!(out, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
