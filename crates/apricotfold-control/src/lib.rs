//! Decision logic of the control plane: which peer streams a node keeps open, how records are
//! replicated to every node, which members are live, which nodes access the store, and when a
//! profile version is accepted and applied.
//!
//! The crate opens no sockets, reads no clock and contains no async code. [`ControlCore::handle`]
//! takes an event and the current time and returns actions for the daemon. See `docs/design.md`,
//! sections 3 to 5.

mod action;
mod bundle_cache;
mod control_core;
mod core_records;
mod core_tick;
mod core_views;
mod dial_backoff;
mod event;
mod failure_detector;
mod fallback_reads;
mod live_members;
mod member_ring;
mod peer_link;
mod peer_overlay;
mod publish_decision;
mod push_tree;
mod record_body;
mod record_table;
mod relay_role;
mod relay_view;
mod stable_hash;
mod store;
mod store_feed;
mod table_sync;
mod version_floor;
mod view;
mod vote_collector;

pub use action::ControlAction;
pub use apricotfold_schema::peer::peer_message::Body as MessageBody;
pub use control_core::ControlCore;
pub use event::{ControlConfig, ControlEvent, StreamDirection, StreamId};
pub use record_body::{RecordBody, RecordKey, RecordVersion};
pub use record_table::{BUCKETS, MergeOutcome, RECORD_TTL, RecordScope, RecordTable, StoredRecord};
pub use store::{RequestId, StoreCompare, StoreEntry, StoreReply, StoreRequest, StoreWrite};
pub use version_floor::VersionFloor;
pub use view::{LiveEndpoint, MemberInfo, RelayInfo, WaitReason};
