//! Prints tables of measurements at growing sizes.

use std::{error::Error, fmt::Display};

/// How often all sizes are measured in turn. The fastest pass counts, so that other load on the
/// machine during one pass does not distort the ratios between sizes.
const PASSES: usize = 3;

/// The cost of one kind of event.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Measurement {
    /// The label of the row.
    pub(crate) name: &'static str,
    /// Time of the control thread for each event, in microseconds.
    pub(crate) micros: f64,
}

/// Runs a measurement at growing sizes.
pub(crate) struct Sweep<F> {
    name: &'static str,
    measure: F,
}

impl<F> Sweep<F> {
    /// `name` is what grows, for the heading of the table.
    pub(crate) fn new(name: &'static str, measure: F) -> Self {
        Self { name, measure }
    }

    /// Measures at each size and prints a table: a row for each kind of event, a column for each
    /// size, and the ratio of the last two columns.
    pub(crate) fn run<S: Copy, L: Display>(
        &self,
        sizes: &[S],
        label: impl Fn(&S) -> L,
    ) -> Result<(), Box<dyn Error>>
    where
        F: Fn(S) -> Result<Vec<Measurement>, Box<dyn Error>>,
    {
        let mut columns = self.measure_sizes(sizes)?;
        for _ in 1..PASSES {
            keep_fastest(&mut columns, &self.measure_sizes(sizes)?);
        }
        print!("\nmicroseconds by {}\n  {:<34}", self.name, "");
        sizes.iter().for_each(|size| print!("{:>10}", label(size)));
        println!("{:>10}", "ratio");
        for name in columns[0].iter().map(|row| row.name) {
            let values = columns.iter().filter_map(|column| {
                column.iter().find(|row| row.name == name).map(|row| row.micros)
            });
            print_row(name, &values.collect::<Vec<_>>());
        }
        Ok(())
    }

    fn measure_sizes<S: Copy>(&self, sizes: &[S]) -> Result<Vec<Vec<Measurement>>, Box<dyn Error>>
    where
        F: Fn(S) -> Result<Vec<Measurement>, Box<dyn Error>>,
    {
        sizes.iter().map(|size| (self.measure)(*size)).collect()
    }
}

fn keep_fastest(columns: &mut [Vec<Measurement>], others: &[Vec<Measurement>]) {
    for (column, other) in columns.iter_mut().zip(others) {
        for (kept, other) in column.iter_mut().zip(other) {
            kept.micros = kept.micros.min(other.micros);
        }
    }
}

fn print_row(name: &str, values: &[f64]) {
    print!("  {name:<34}");
    values.iter().for_each(|micros| print!("{micros:>10.2}"));
    match values {
        [.., before, last] => println!("{:>10.2}", last / before),
        _ => println!(),
    }
}
