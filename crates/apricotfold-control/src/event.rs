//! What the daemon tells the core.

use std::time::Duration;

use apricotfold_model::{NodeId, ProfileName, ProfileVersion, PublishId, TargetState};
use apricotfold_schema::peer::{Hello, PeerMessage};
use compact_str::CompactString;

use crate::{RequestId, StoreEntry, StoreReply};

/// Identity of a node and the time at which it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlConfig {
    /// Id of the node.
    pub node: NodeId,
    /// Its region.
    pub region: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Address of the control service, as peers are told.
    pub control_address: CompactString,
    /// Address for calls from other nodes, as peers are told.
    pub mesh_address: CompactString,
    /// Address of the admin endpoints.
    pub admin_address: CompactString,
    /// Start time in milliseconds since the Unix epoch. It orders the lives of one node id.
    pub incarnation: u64,
    /// Control addresses that are tried while no members are known.
    pub contacts: Vec<CompactString>,
    /// Seed of every random decision.
    pub seed: u64,
}

/// Identifies one peer stream. The daemon chooses it and never uses one twice, so that a late
/// event of a closed stream cannot be taken for one of its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// Which side opened a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamDirection {
    /// The peer opened it.
    Inbound,
    /// This node opened it, because of an `OpenStream` action with this address.
    Outbound {
        /// The address of that action.
        address: CompactString,
    },
}

/// One input of [`ControlCore::handle`](crate::ControlCore::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEvent {
    /// Time has passed. Due every 50 ms.
    Tick,
    /// Both sides of a stream have sent their `Hello`.
    StreamOpened {
        /// The new stream.
        stream: StreamId,
        /// What the peer said.
        hello: Hello,
        /// Which side opened it.
        direction: StreamDirection,
    },
    /// A stream asked for by `OpenStream` did not come up.
    StreamFailed {
        /// The address of the action.
        address: CompactString,
        /// True when the connection was refused, which no live node does.
        refused: bool,
        /// Hint of a peer that refused the stream (`RefuseStream`) because it has too many new ones.
        retry_after: Option<Duration>,
    },
    /// An open stream has ended, for whatever reason.
    StreamClosed {
        /// The stream.
        stream: StreamId,
    },
    /// A message arrived.
    Message {
        /// The stream that it arrived on.
        stream: StreamId,
        /// The message; a `Hello` is ignored.
        message: PeerMessage,
    },
    /// The local target announced itself, changed or left.
    TargetChanged(Option<TargetState>),
    /// Answer to the `Prepare` action.
    PrepareResult {
        /// Profile of the candidate.
        profile: ProfileName,
        /// Version of the candidate.
        version: ProfileVersion,
        /// Publish that the candidate belongs to.
        publish_id: PublishId,
        /// The reason when this node cannot run the candidate.
        result: Result<(), CompactString>,
    },
    /// Answer to the `Apply` action: the version is in force.
    Applied {
        /// The profile.
        profile: ProfileName,
        /// The version.
        version: ProfileVersion,
    },
    /// Answer to the `Apply` action: the older version stays in force.
    ApplyFailed {
        /// The profile.
        profile: ProfileName,
        /// The version.
        version: ProfileVersion,
        /// Why it cannot be applied.
        reason: CompactString,
    },
    /// The target died while this request was in flight.
    CrashObserved {
        /// Fingerprint of the request; it contains no slash.
        fingerprint: CompactString,
    },
    /// The node has begun to drain.
    DrainStarted,
    /// The node exits. Its endpoint is removed everywhere without waiting for its monitors.
    Leaving,
    /// Entries of a watched prefix.
    StoreEntries {
        /// The prefix given in the `Watch` request.
        prefix: CompactString,
        /// Entries in the order of their revisions.
        entries: Vec<StoreEntry>,
        /// True for everything under the prefix, false for changes only.
        complete: bool,
    },
    /// A watched key was deleted or its lease ended.
    StoreDeleted {
        /// The key.
        key: CompactString,
    },
    /// Answer to one `StoreRequest` action.
    StoreResult {
        /// Id of the request.
        id: RequestId,
        /// The answer.
        reply: StoreReply,
    },
    /// The store does not answer, or a watch was interrupted.
    StoreUnavailable,
    /// The store answers again. The core asks for its watches once more. An answer to one of the
    /// core's own requests, which go on slowly meanwhile, has the same effect.
    StoreAvailable,
}
