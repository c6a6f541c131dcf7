//! How this node follows the platform's store. See `docs/platform.md`, section 4.

pub mod watch_monitor;
