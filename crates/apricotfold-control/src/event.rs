//! Configuration and events that the daemon passes to the core.

use std::time::Duration;

use apricotfold_model::{NodeId, ProfileName, ProfileVersion, PublishId, TargetState};
use apricotfold_schema::peer::{Hello, PeerMessage};
use compact_str::CompactString;

use crate::{RequestId, StoreEntry, StoreReply};

/// Identity, addresses and start time of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlConfig {
    /// Node id, unique in the mesh.
    pub node: NodeId,
    /// Region that the node runs in.
    pub region: CompactString,
    /// Data centre that the node runs in.
    pub data_centre: CompactString,
    /// Address of the control service, as advertised to peers.
    pub control_address: CompactString,
    /// Address for calls from other nodes, as advertised to peers.
    pub mesh_address: CompactString,
    /// Address of the admin endpoints, as advertised to peers.
    pub admin_address: CompactString,
    /// Start time in milliseconds since the Unix epoch. It orders successive runs of one node id;
    /// the core raises it to refute a suspicion.
    pub incarnation: u64,
    /// Control addresses of peers to connect to while no members are known.
    pub contacts: Vec<CompactString>,
    /// Seed of the random number generator for all random decisions of the core.
    pub seed: u64,
}

/// Identifies a peer stream. The daemon assigns it and never reuses one, so that a late event of a
/// closed stream is not attributed to its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// Side that opened a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamDirection {
    /// The peer opened the stream.
    Inbound,
    /// This node opened the stream in response to an `OpenStream` action.
    Outbound {
        /// Address given in the action.
        address: CompactString,
    },
}

/// Input of [`ControlCore::handle`](crate::ControlCore::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEvent {
    /// Time has passed. The daemon sends it every 50 ms.
    Tick,
    /// Both sides of a stream have sent their `Hello`.
    StreamOpened {
        /// Id that the daemon has assigned to the new stream.
        stream: StreamId,
        /// The peer's `Hello`.
        hello: Hello,
        /// Side that opened the stream.
        direction: StreamDirection,
    },
    /// A stream requested by `OpenStream` could not be opened.
    StreamFailed {
        /// Address given in the `OpenStream` action.
        address: CompactString,
        /// True if the connection was refused, which means that no node listens at the address.
        refused: bool,
        /// Delay requested by a peer that rejected the stream (`RefuseStream`) because too many new
        /// ones arrived.
        retry_after: Option<Duration>,
    },
    /// An open stream has ended, for any reason.
    StreamClosed {
        /// Stream that has ended.
        stream: StreamId,
    },
    /// A message was received from a peer.
    Message {
        /// Stream on which the message arrived.
        stream: StreamId,
        /// Content of the message; a `Hello` is ignored.
        message: PeerMessage,
    },
    /// The local target announced itself, changed or left; `None` after it has left.
    TargetChanged(Option<TargetState>),
    /// Result of the `Prepare` action.
    PrepareResult {
        /// Profile of the candidate.
        profile: ProfileName,
        /// Version of the candidate.
        version: ProfileVersion,
        /// Publish that the candidate belongs to.
        publish_id: PublishId,
        /// Error with the reason if this node cannot run the candidate.
        result: Result<(), CompactString>,
    },
    /// Result of the `Apply` action: the version is in force.
    Applied {
        /// Profile of the head.
        profile: ProfileName,
        /// Version that is now in force.
        version: ProfileVersion,
    },
    /// Result of the `Apply` action: the version could not be applied, and the older one stays in
    /// force.
    ApplyFailed {
        /// Profile of the head.
        profile: ProfileName,
        /// Version that could not be applied.
        version: ProfileVersion,
        /// Why the version cannot be applied; published as the lag reason.
        reason: CompactString,
    },
    /// The target crashed while this request was in flight.
    CrashObserved {
        /// Fingerprint of the request; it contains no slash.
        fingerprint: CompactString,
    },
    /// The node has started to drain.
    DrainStarted,
    /// The node is about to exit. Its endpoint is removed on all nodes without waiting for its
    /// monitors.
    Leaving,
    /// A listing of a watched prefix, or changes under it.
    StoreEntries {
        /// Prefix given in the `Watch` request.
        prefix: CompactString,
        /// Entries in revision order.
        entries: Vec<StoreEntry>,
        /// True if the entries are everything under the prefix, false if they are changes.
        complete: bool,
    },
    /// A watched key was deleted or its lease expired.
    StoreDeleted {
        /// Full store key.
        key: CompactString,
    },
    /// Reply to a `StoreRequest` action.
    StoreResult {
        /// Id given in the action.
        id: RequestId,
        /// Outcome of the request.
        reply: StoreReply,
    },
    /// The store does not answer, or a watch was interrupted.
    StoreUnavailable,
    /// The store answers again, and the core requests its watches anew. A reply to one of the
    /// requests that the core keeps making at a low rate meanwhile has the same effect.
    StoreAvailable,
}
