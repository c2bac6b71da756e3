//! All decisions of an instance of the edge program: which server gets a request, which requests
//! wait, and which are retried or refused.
//!
//! [`State::step`] is a reducer: it handles one event and returns effects, without sockets and
//! without a clock. No decision waits for a message from another instance. Limits on the whole
//! fleet are divided into shares that add up to no more than the limit, whatever the other
//! instances do: see [`Share`], [`RetryBudget`] and [`RequestWindow`].

mod account_shares;
mod admission;
mod attempt;
mod awaited_servers;
mod budget;
mod caller_times;
mod catalog;
mod choice;
mod cold;
mod continuation;
mod demand;
mod effect;
mod elimination;
mod event;
mod fleet;
mod fleet_knowledge;
mod fleet_load;
mod freshness;
mod health;
mod left_run;
mod limited_server;
mod limited_servers;
mod live_engines;
mod origins;
mod outcome;
mod placement;
mod preferred_servers;
mod prefix;
mod prompt;
mod quarantine;
mod queue;
mod rank;
mod reach;
mod reading;
mod reading_speed;
mod request;
mod request_rate;
mod response_trace;
mod retry_use;
mod route;
mod selection;
mod server;
mod server_ends;
mod server_limit;
mod server_limits;
mod server_notices;
mod servers;
mod service_times;
mod settings;
mod share;
mod software_use;
mod state;
mod stream_origins;
mod suspect;
mod taken_up;
mod withdrawal;
mod zone_plans;

pub use attempt::{Attempt, AttemptEnd, Delivered, KvCopy};
pub use budget::RetryBudget;
pub use catalog::{Account, Accounts, CallerLimits, Catalog, ConfigOrigin, Engine, Pool};
pub use choice::{Affinity, Candidate, Demand, Estimate, Room, SeenLoad};
pub use cold::RequestWindow;
pub use demand::EngineDemand;
pub use effect::{Command, Effect, LogEntry, ServerSurvey};
pub use event::{Event, NewRequest, ServedVersion, ServerChange};
pub use fleet_knowledge::FleetKnowledge;
pub use freshness::{Freshness, ViewSource};
pub use left_run::{LeftRun, RunEnd};
pub use limited_server::LimitedServer;
pub use live_engines::{FleetDemand, LiveEngines};
pub use prefix::PrefixCache;
pub use prompt::{Part, Prompt};
pub use quarantine::{HeldPart, Quarantine, QuarantineChange, Verdict, end_tag};
pub use rank::Rank;
pub use reading::{ReadSource, RetryPolicy};
pub use request::RequestKey;
pub use request_rate::RequestRate;
pub use response_trace::ResponseTrace;
pub use retry_use::RetryUse;
pub use route::{Repeat, Route, Routed, Target};
pub use server::{Server, ServerEntry, ServerKey};
pub use settings::{Bounds, Setup};
pub use share::Share;
pub use state::State;
pub use taken_up::TakenUp;
pub use zones::Crossing;
