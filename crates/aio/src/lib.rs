//! Time and signals between tasks, shared by the programs.

mod clock;
pub mod deadline;
mod latch;

pub use clock::Clock;
pub use latch::Latch;
