//! Prints rows in columns.

use std::io::{self, Write};

const GAP: &str = "  ";

/// Rows of cells; each column is as wide as its widest cell.
pub(crate) struct Table<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> Table<N> {
    /// A table with a line of titles.
    pub(crate) fn new(titles: [&str; N]) -> Self {
        Self { rows: vec![titles.map(str::to_owned)] }
    }

    /// Adds a row.
    pub(crate) fn push(&mut self, row: [String; N]) {
        self.rows.push(row);
    }

    /// Prints all rows.
    pub(crate) fn write(&self, out: &mut impl Write) -> io::Result<()> {
        let mut widths = [0; N];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        for row in &self.rows {
            let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}"));
            let line = cells.collect::<Vec<_>>().join(GAP);
            writeln!(out, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
