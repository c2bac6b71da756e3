//! Clock, deadlines and one-time notifications for asynchronous tasks, shared by the programs.

mod clock;
pub mod deadline;
mod latch;

pub use clock::Clock;
pub use latch::Latch;
