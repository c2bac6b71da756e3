//! Tables of measurements over growing sizes.

use std::{error::Error, fmt::Display};

/// Times that all sizes are measured in turn; the fastest counts, so that a machine that is slow
/// for a while does not distort the ratios.
const PASSES: usize = 3;

/// One measurement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Measure {
    /// What was measured.
    pub(crate) name: &'static str,
    /// Microseconds of the control thread for each event.
    pub(crate) micros: f64,
}

/// Measurements over growing sizes.
pub(crate) struct Sweep<F> {
    name: &'static str,
    measure: F,
}

impl<F> Sweep<F> {
    pub(crate) fn new(name: &'static str, measure: F) -> Self {
        Self { name, measure }
    }

    /// Measures at each size and prints the times with the ratio of the last two.
    pub(crate) fn over<S: Copy, L: Display>(
        &self,
        sizes: &[S],
        label: impl Fn(&S) -> L,
    ) -> Result<(), Box<dyn Error>>
    where
        F: Fn(S) -> Result<Vec<Measure>, Box<dyn Error>>,
    {
        let mut columns = self.pass(sizes)?;
        for _ in 1..PASSES {
            keep_fastest(&mut columns, &self.pass(sizes)?);
        }
        print!("\nmicroseconds by {}\n  {:<34}", self.name, "");
        sizes.iter().for_each(|size| print!("{:>10}", label(size)));
        println!("{:>10}", "ratio");
        for name in columns[0].iter().map(|it| it.name) {
            let values = columns
                .iter()
                .filter_map(|column| column.iter().find(|it| it.name == name).map(|it| it.micros));
            row(name, &values.collect::<Vec<_>>());
        }
        Ok(())
    }

    fn pass<S: Copy>(&self, sizes: &[S]) -> Result<Vec<Vec<Measure>>, Box<dyn Error>>
    where
        F: Fn(S) -> Result<Vec<Measure>, Box<dyn Error>>,
    {
        sizes.iter().map(|size| (self.measure)(*size)).collect()
    }
}

fn keep_fastest(columns: &mut [Vec<Measure>], others: &[Vec<Measure>]) {
    for (column, other) in columns.iter_mut().zip(others) {
        for (kept, other) in column.iter_mut().zip(other) {
            kept.micros = kept.micros.min(other.micros);
        }
    }
}

fn row(name: &str, values: &[f64]) {
    print!("  {name:<34}");
    values.iter().for_each(|it| print!("{it:>10.2}"));
    match values {
        [.., before, last] => println!("{:>10.2}", last / before),
        _ => println!(),
    }
}
