//! The edge program without its platform: sockets around the reducer of crate `dispatch`.
//!
//! One thread serves everything. An adapter gives the [`Settings`], the [`HeaderCodec`] of callers
//! and backend servers, and a task that reads the platform and tells the [`Instance`] what it says.

mod answer;
mod attempt;
mod caller;
mod events;
mod exchange;
mod headers;
mod instance;
mod journal;
mod metrics;
mod outgoing;
mod peers;
mod pool;
mod problem;
mod process;
mod relay;
mod settings;
mod status;

pub use events::{CompleteEvents, EventSplitter};
pub use headers::{AttemptFields, BackendFields, CallerFields, FieldError, HeaderCodec};
pub use instance::Instance;
pub use process::{RunError, run};
pub use settings::{MetricsAddress, Settings};
