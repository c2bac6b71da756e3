//! What instances tell each other of servers that say that they leave.

use serde::{Deserialize, Serialize};

/// Identifies one start of a server. All instances use the same tag for it. Two starts may have the
/// same tag, so it decides nothing that must not be wrong.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct IncarnationTag(pub u32);
