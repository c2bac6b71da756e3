//! The edge program without its platform: network input and output around the reducer of the crate
//! `dispatch`.
//!
//! One thread serves everything. The program supplies the [`Settings`], the [`HeaderCodec`] for
//! callers and backend servers, and a task that reads the platform and passes what it reads to the
//! [`Instance`].

mod attempt;
mod caller;
mod connection_pool;
mod counted_body;
mod event_memory;
mod events;
mod exchange;
mod headers;
mod instance;
mod journal;
mod left_run;
mod memory;
mod metrics;
mod outgoing;
mod part_id;
mod peers;
mod problem;
mod process;
mod rejected_body;
mod rejection;
mod relay;
mod response;
mod response_writer;
mod resume_point;
mod second_response;
mod sending;
mod server_check;
mod settings;
mod status;
mod traffic;

pub use events::{EventSplitter, StreamEvent};
pub use headers::{
    AttemptFields, BackendFields, CallerFields, EncodeError, EndRunFields, FieldError, HeaderCodec,
};
pub use instance::Instance;
pub use journal::Journal;
pub use process::{RunError, run};
pub use resume_point::ResumePoint;
pub use settings::{MetricsAddress, Settings};
