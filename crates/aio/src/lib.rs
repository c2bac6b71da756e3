//! Time and signals between tasks, shared by the programs.

mod clock;
pub mod deadline;
mod signal;

pub use clock::Clock;
pub use signal::Signal;
