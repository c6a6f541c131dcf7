//! Reports which node runs which version and which nodes lag behind the head.

use std::collections::BTreeMap;

use apricotfold_model::{
    DataCentreName, HeadEntry, HeadState, NodeId, ProfileName, ProfileVersion, RegionName,
    ServiceName,
};
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::ExitKind;

/// Lag reason of a node that is behind the head when no node reported a reason.
const CATCHING_UP: &str = "catching up";

/// State of one node, as the node itself or another node reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberState {
    /// Node that the state describes.
    pub node: NodeId,
    /// Region of the node.
    pub region: RegionName,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Service of the node's target; empty without a target.
    pub service: ServiceName,
    /// Profile that the service selected; empty for none.
    pub profile: ProfileName,
    /// Address of the node's admin endpoints, without a scheme; empty when not known.
    pub admin_address: CompactString,
    /// Version that the node runs, 0 for none; `None` when the reporting node is in another data
    /// centre, since versions are only known within a data centre.
    pub applied_version: Option<ProfileVersion>,
    /// Why the node lags behind the head; `None` or empty when no reason is known.
    pub lag_reason: Option<CompactString>,
    /// Whether the node is shutting down and takes no new work.
    pub draining: bool,
}

/// Response of a node's `/v1/status`. Fields that the report does not use are ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct StatusResponse {
    /// Node that responded.
    pub node: NodeId,
    /// Region of the node.
    pub region: RegionName,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Service of the node's target; empty when the response does not contain it.
    pub service: ServiceName,
    /// Profile that the service selected; empty for none.
    pub profile: ProfileName,
    /// Version that the node runs; 0 for none.
    pub applied_version: ProfileVersion,
    /// Version of the profile's head that the node knows.
    pub head_version: ProfileVersion,
    /// Why the node lags behind the head; `None` or empty when it does not lag.
    pub lag_reason: Option<CompactString>,
    /// State of every node that the responding node knows, including itself.
    pub members: Vec<MemberState>,
}

impl StatusResponse {
    /// Returns the node's state as it reports it about itself.
    fn own_state(&self) -> MemberState {
        let listed = self.members.iter().find(|member| member.node == self.node);
        MemberState {
            node: self.node.clone(),
            region: self.region.clone(),
            data_centre: self.data_centre.clone(),
            service: self.service.clone(),
            profile: self.profile.clone(),
            admin_address: listed
                .map(|member| member.admin_address.clone())
                .unwrap_or_default(),
            applied_version: Some(self.applied_version),
            lag_reason: self.lag_reason.clone(),
            draining: listed.is_some_and(|member| member.draining),
        }
    }
}

/// Head of a profile and the number of nodes that run it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ProfileHead {
    /// Profile that the counts below refer to.
    pub profile: ProfileName,
    /// Highest version that a node or the store knows.
    pub version: ProfileVersion,
    /// Version of the head in the store; `None` when the store was not queried or has no head.
    pub store_version: Option<ProfileVersion>,
    /// State of the head in the store; `None` when `store_version` is `None`.
    pub store_state: Option<HeadState>,
    /// Number of nodes whose service selected the profile.
    pub nodes: usize,
    /// Number of these nodes that lag behind the head.
    pub lagging: usize,
    /// Number of these nodes that run an unknown version, because no node of their data centre
    /// responded.
    pub unknown: usize,
}

/// One node in the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberReport {
    /// Merged state of the node. Its `lag_reason` is set exactly when the node lags.
    #[serde(flatten)]
    pub state: MemberState,
    /// Version that the node should run.
    pub head_version: ProfileVersion,
}

impl MemberReport {
    /// Whether the node lags behind the head.
    #[must_use]
    pub fn is_lagging(&self) -> bool {
        self.state.lag_reason.is_some()
    }
}

impl std::fmt::Display for MemberReport {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let MemberState {
            node,
            data_centre,
            service,
            profile,
            applied_version,
            ..
        } = &self.state;
        if self.is_lagging() {
            formatter.write_str("lagging: ")?;
        }
        write!(formatter, "{node} ({data_centre}, {service}): ")?;
        if profile.is_empty() {
            formatter.write_str("no profile")?;
        } else if let Some(version) = applied_version {
            write!(formatter, "{profile} version {version}")?;
        } else {
            write!(
                formatter,
                "{profile} version unknown, no node of {data_centre} responded"
            )?;
        }
        if let Some(reason) = &self.state.lag_reason {
            write!(formatter, " of {}, {reason}", self.head_version)?;
        }
        if self.state.draining {
            formatter.write_str(", draining")?;
        }
        Ok(())
    }
}

/// State of all nodes that the queried nodes know.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FleetReport {
    /// Number of nodes that lag behind the head of their profile.
    pub lagging: usize,
    /// All nodes, lagging ones first.
    pub members: Vec<MemberReport>,
    /// All profiles that a node runs or the store has a head for.
    pub heads: Vec<ProfileHead>,
}

impl FleetReport {
    /// Merges the status responses of nodes with the heads in the store.
    ///
    /// A node's report about itself takes precedence. Of the reports by other nodes, the one with
    /// the higher version is newer, since a node never goes back to an older version. A node lags
    /// when a reason was reported or when its version is below the highest version that a node or
    /// the store knows.
    #[must_use]
    pub fn new(answers: &[StatusResponse], store_heads: &[HeadEntry]) -> Self {
        let states = merge_states(answers);
        let mut heads = collect_heads(answers, &states, store_heads);
        let mut members: Vec<MemberReport> = states
            .into_values()
            .map(|state| assess_member(state, &mut heads))
            .collect();
        members.sort_by(|one, other| sort_key(one).cmp(&sort_key(other)));
        Self {
            lagging: members.iter().filter(|member| member.is_lagging()).count(),
            members,
            heads: heads.into_values().collect(),
        }
    }

    /// Returns the admin URLs of nodes to query next: one node with an unknown version in each data
    /// centre that has any.
    #[must_use]
    pub fn unqueried_nodes(&self) -> Vec<CompactString> {
        let mut nodes: BTreeMap<&DataCentreName, &CompactString> = BTreeMap::new();
        for MemberReport { state, .. } in &self.members {
            if state.applied_version.is_none() && !state.admin_address.is_empty() {
                nodes
                    .entry(&state.data_centre)
                    .or_insert(&state.admin_address);
            }
        }
        nodes
            .into_values()
            .map(|address| format_compact!("http://{address}"))
            .collect()
    }

    /// Returns the exit code: `Lagging` when any node lags.
    #[must_use]
    pub fn exit_kind(&self) -> ExitKind {
        if self.lagging > 0 {
            return ExitKind::Lagging;
        }
        ExitKind::Done
    }
}

impl std::fmt::Display for ProfileHead {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            profile,
            version,
            nodes,
            lagging,
            unknown,
            ..
        } = self;
        let current = nodes - lagging - unknown;
        write!(
            formatter,
            "{profile}: head version {version}, {current} of {nodes} nodes run it"
        )?;
        match (self.store_version, self.store_state) {
            (Some(store), _) if store < *version => {
                write!(
                    formatter,
                    "; the store has only version {store}, an older state"
                )
            }
            (Some(_), Some(HeadState::Withdrawn)) => formatter.write_str("; withdrawn"),
            _ => Ok(()),
        }
    }
}

fn merge_states(answers: &[StatusResponse]) -> BTreeMap<NodeId, MemberState> {
    let mut states: BTreeMap<NodeId, MemberState> = BTreeMap::new();
    for member in answers.iter().flat_map(|answer| &answer.members) {
        match states.get_mut(&member.node) {
            Some(known) if is_newer(member, known) => *known = member.clone(),
            Some(_) => {}
            None => {
                states.insert(member.node.clone(), member.clone());
            }
        }
    }
    for answer in answers {
        states.insert(answer.node.clone(), answer.own_state());
    }
    for state in states.values_mut() {
        state.lag_reason = state.lag_reason.take().filter(|reason| !reason.is_empty());
    }
    states
}

/// Whether a report about a node replaces the known one. At the same version, a report without a
/// lag reason takes precedence: a queried node may be partitioned from a node that another one
/// reaches.
fn is_newer(member: &MemberState, known: &MemberState) -> bool {
    let rank = |state: &MemberState| (state.applied_version, state.lag_reason.is_none());
    rank(member) > rank(known)
}

fn collect_heads(
    answers: &[StatusResponse],
    states: &BTreeMap<NodeId, MemberState>,
    store_heads: &[HeadEntry],
) -> BTreeMap<ProfileName, ProfileHead> {
    let known = answers
        .iter()
        .map(|answer| (&answer.profile, answer.head_version))
        .chain(
            states
                .values()
                .map(|state| (&state.profile, state.applied_version.unwrap_or_default())),
        )
        .chain(store_heads.iter().map(|head| (&head.profile, head.version)));
    let mut heads: BTreeMap<ProfileName, ProfileHead> = BTreeMap::new();
    for (profile, version) in known.filter(|(profile, _)| !profile.is_empty()) {
        let head = heads.entry(profile.clone()).or_default();
        head.profile.clone_from(profile);
        head.version = head.version.max(version);
    }
    for entry in store_heads {
        let head = heads.entry(entry.profile.clone()).or_default();
        head.store_version = Some(entry.version);
        head.store_state = Some(entry.state);
    }
    heads
}

fn assess_member(
    mut state: MemberState,
    heads: &mut BTreeMap<ProfileName, ProfileHead>,
) -> MemberReport {
    let mut unknown = ProfileHead::default();
    let head = heads.get_mut(&state.profile).unwrap_or(&mut unknown);
    let is_behind = state
        .applied_version
        .is_some_and(|version| version < head.version);
    if is_behind && state.lag_reason.is_none() {
        state.lag_reason = Some(CATCHING_UP.into());
    }
    head.nodes += 1;
    head.unknown += usize::from(state.applied_version.is_none() && state.lag_reason.is_none());
    head.lagging += usize::from(state.lag_reason.is_some());
    MemberReport {
        state,
        head_version: head.version,
    }
}

/// Sorts lagging nodes first, then by profile, data centre and node.
fn sort_key(member: &MemberReport) -> (bool, &ProfileName, &DataCentreName, &NodeId) {
    let state = &member.state;
    (
        !member.is_lagging(),
        &state.profile,
        &state.data_centre,
        &state.node,
    )
}
