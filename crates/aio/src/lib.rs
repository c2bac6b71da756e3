//! Clock, deadlines, one-time notifications and client connections for asynchronous tasks, shared by
//! the programs.

mod clock;
pub mod deadline;
mod latch;
mod socket;

pub use clock::Clock;
pub use latch::Latch;
pub use socket::Socket;
