//! How nodes that do not follow the store learn of changes from those that do. See `docs/platform.md`,
//! section 4.

pub mod hand_over;
pub mod poller;
mod succession;
