//! Limits on what strangers may make a node hold, derived from the limits of its machine. See
//! `docs/design/caller-limits.md`.

/// Memory assumed in MiB if the settings state none: enough for one body of 64 MiB.
const DEFAULT_MEMORY_MB: u32 = 256;

/// Descriptors assumed if the settings state none: the usual soft limit of a process.
const DEFAULT_FD_LIMIT: u32 = 1_024;

/// Part of the memory that callers may use at most, as a divisor. Buffers to targets and what the
/// allocator cannot reuse grow with it. Half of 160 MiB holds a body of 64 MiB.
const CALLERS_DIVISOR: usize = 2;

/// Part of the memory that callers may use at least, as a divisor, on machines below 85 MiB.
const LEAST_DIVISOR: usize = 4;

/// Memory of the process itself, its table and instances, and what listeners buffer. With half of
/// 88 MiB as the budget, 92 MiB were resident.
const RESERVED_BYTES: usize = 64 * 1024 * 1024;

/// Memory of a connection without a body: its task, its buffers and a head of 16 KiB.
pub const CONNECTION_BYTES: usize = 32 * 1024;

/// Descriptors for the log, the store, timers and the reserve of the platform.
const RESERVED_FDS: usize = 200;

/// Limits of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeLimits {
    /// Bytes that callers, peers and targets may make the node hold.
    pub held_bytes: usize,
    /// Connections of callers.
    pub caller_connections: usize,
    /// Connections of peers.
    pub peer_connections: usize,
    /// Connections of each other listener: announcements, readiness checks and metrics.
    pub status_connections: usize,
}

impl NodeLimits {
    /// Derives the limits from the machine's memory in MiB and the process's descriptors; `None`
    /// takes a default.
    ///
    /// Of the descriptors, callers get half, peers a quarter and the three other listeners a
    /// sixteenth each; the rest is for the connections that the node opens. All connections together
    /// fit into the memory budget.
    #[must_use]
    pub fn new(memory_mb: Option<u32>, fd_limit: Option<u32>) -> Self {
        let memory = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize * 1024 * 1024;
        let fds = fd_limit.unwrap_or(DEFAULT_FD_LIMIT) as usize;
        // A process with few descriptors keeps half of them for itself.
        let fds = fds.saturating_sub(RESERVED_FDS).max(fds / 2).max(16);
        let held_bytes = memory
            .saturating_sub(RESERVED_BYTES)
            .clamp(memory / LEAST_DIVISOR, memory / CALLERS_DIVISOR);
        let affordable = (held_bytes / CONNECTION_BYTES).max(16);
        let part = |divisor: usize| (fds.min(affordable) / divisor).max(1);
        Self {
            held_bytes,
            caller_connections: part(2),
            peer_connections: part(4),
            status_connections: part(16),
        }
    }

    /// Returns whether one body of this size fits into the budget while nothing else is held.
    #[must_use]
    pub fn fits_body(&self, bytes: u64) -> bool {
        usize::try_from(bytes).is_ok_and(|bytes| bytes + CONNECTION_BYTES <= self.held_bytes)
    }
}
