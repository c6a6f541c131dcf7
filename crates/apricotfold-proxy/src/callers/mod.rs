//! Limits on what callers, peers and other strangers make the node hold. See
//! `docs/design/caller-limits.md`.

pub mod body_pieces;
pub(crate) mod connection_slots;
pub(crate) mod held_memory;
pub(crate) mod message_body;
pub(crate) mod response_queue;
