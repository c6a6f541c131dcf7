//! Decisions of the control plane: which streams a node keeps, how records reach every node, who
//! is a member, who talks to the store, and when a profile version is accepted and applied.
//!
//! The crate opens no sockets, reads no clock and contains no async code. [`ControlCore::handle`]
//! takes an event and the time and returns actions for the daemon. See `docs/design.md`, sections
//! 3 to 5.

mod action;
mod control_core;
mod event;
mod store;
mod view;

pub use action::ControlAction;
pub use apricotfold_schema::peer::peer_message::Body as MessageBody;
pub use control_core::ControlCore;
pub use event::{ControlConfig, ControlEvent, StreamDirection, StreamId};
pub use store::{RequestId, StoreCompare, StoreEntry, StoreReply, StoreRequest, StoreWrite};
pub use view::{LiveEndpoint, MemberInfo, RelayInfo, WaitReason};
