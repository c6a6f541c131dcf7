//! Validated settings of all binaries.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use apricotfold_schema::settings as raw;
use compact_str::CompactString;
use smallvec::SmallVec;
use strum::{Display, EnumString, IntoStaticStr};

use crate::profile::{check_name, read_enum};
use crate::{
    DataCentreName, FieldError, FieldErrors, ListenerName, NodeId, ProfileName, RegionName,
    SecretName, ServiceName,
};

const DEFAULT_STORE_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_WORKER_THREADS: usize = 2;
const MAX_WORKER_THREADS: u32 = 64;

/// Method by which configuration is distributed to a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Distribution {
    /// Configuration is received from peers; only relays connect to the store.
    #[default]
    Peers,
    /// Every node watches the store directly. Used as a baseline in benchmarks.
    StoreWatch,
}

/// Policy by which a target is selected for a call. All policies but the first serve as baselines
/// in benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LoadBalancingPolicy {
    /// Picks the better of two random targets by the node's own requests in flight and the observed
    /// latency.
    #[default]
    LeastLatency,
    /// Picks the targets in turn.
    RoundRobin,
    /// Picks a random target.
    Random,
    /// Picks the target that reported the lowest load.
    LeastReportedLoad,
}

/// A named address on which a node serves callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenerConfig {
    /// Name by which routes reference the listener.
    pub name: ListenerName,
    /// Address to listen on.
    pub address: SocketAddr,
}

/// A named secret, sent to the targets of the clusters that reference it.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretConfig {
    /// Name by which clusters reference the secret.
    pub name: SecretName,
    /// Value sent to targets; printable ASCII without spaces.
    pub value: CompactString,
}

impl std::fmt::Debug for SecretConfig {
    /// Omits the value, so that secrets are never logged.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("SecretConfig")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// How to connect to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreConfig {
    /// Base URLs, tried in order.
    pub endpoints: SmallVec<[CompactString; 2]>,
    /// Timeout of each request; it does not apply to the events of a watch.
    pub timeout: Duration,
}

/// Settings of the node daemon.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Id of the node.
    pub node: NodeId,
    /// Region of the node.
    pub region: RegionName,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Listening address of the control service.
    pub control_address: SocketAddr,
    /// Listening address for calls that other nodes send to the local target.
    pub mesh_address: SocketAddr,
    /// Listening address of the admin endpoints.
    pub admin_address: SocketAddr,
    /// Control address advertised to peers.
    pub advertised_control: CompactString,
    /// Mesh address advertised to peers.
    pub advertised_mesh: CompactString,
    /// Listeners that serve callers.
    pub listeners: SmallVec<[ListenerConfig; 2]>,
    /// Secrets that clusters can reference.
    pub secrets: SmallVec<[SecretConfig; 2]>,
    /// Connection to the platform's store.
    pub store: StoreConfig,
    /// Control addresses of seed peers, contacted first.
    pub contacts: SmallVec<[CompactString; 4]>,
    /// Method by which configuration is distributed to the node.
    pub distribution: Distribution,
    /// Policy by which targets are selected.
    pub target_choice: LoadBalancingPolicy,
    /// Number of worker threads of the asynchronous runtime.
    pub worker_threads: usize,
    /// Seed of all random decisions; 0 takes a seed from the operating system.
    pub seed: u64,
}

impl NodeConfig {
    /// Returns the source address of outgoing connections. It is the address of the control
    /// service, so that other nodes and the network see one address per instance. `None` leaves the
    /// choice to the operating system, if the control service listens on all addresses.
    #[must_use]
    pub fn local_address(&self) -> Option<IpAddr> {
        let address = self.control_address.ip();
        (!address.is_unspecified()).then_some(address)
    }
}

impl TryFrom<raw::NodeSettings> for NodeConfig {
    type Error = FieldErrors;

    fn try_from(settings: raw::NodeSettings) -> Result<Self, Self::Error> {
        let mut errors = FieldErrors::default();
        let errors_ref = &mut errors;
        check_name(errors_ref, "node", &settings.node);
        check_name(errors_ref, "region", &settings.region);
        check_name(errors_ref, "data_centre", &settings.data_centre);
        let control_address =
            read_address(errors_ref, "control_address", &settings.control_address);
        let mesh_address = read_address(errors_ref, "mesh_address", &settings.mesh_address);
        let config = Self {
            admin_address: read_address(errors_ref, "admin_address", &settings.admin_address),
            advertised_control: read_advertised(
                errors_ref,
                "advertised_control_address",
                &settings.advertised_control_address,
                control_address,
            ),
            advertised_mesh: read_advertised(
                errors_ref,
                "advertised_mesh_address",
                &settings.advertised_mesh_address,
                mesh_address,
            ),
            control_address,
            mesh_address,
            listeners: read_listeners(errors_ref, settings.listeners),
            secrets: read_secrets(errors_ref, settings.secrets),
            store: read_store(errors_ref, settings.store),
            contacts: read_contacts(errors_ref, &settings.contacts),
            distribution: read_enum(
                errors_ref,
                "distribution",
                &settings.distribution,
                "peers or store-watch",
            ),
            target_choice: read_enum(
                errors_ref,
                "target_choice",
                &settings.target_choice,
                "least-latency, round-robin, random or least-reported-load",
            ),
            worker_threads: read_threads(errors_ref, settings.worker_threads),
            seed: settings.seed,
            node: settings.node.into(),
            region: settings.region.into(),
            data_centre: settings.data_centre.into(),
        };
        errors.finish(config)
    }
}

pub(crate) fn read_address(errors: &mut FieldErrors, field: &str, text: &str) -> SocketAddr {
    text.parse().unwrap_or_else(|_| {
        errors.push(FieldError::new(
            field,
            text,
            "an IP address and port, such as 127.0.0.1:8080",
        ));
        SocketAddr::from(([0, 0, 0, 0], 0))
    })
}

fn read_advertised(
    errors: &mut FieldErrors,
    field: &str,
    text: &str,
    listening: SocketAddr,
) -> CompactString {
    if text.is_empty() {
        return compact_str::format_compact!("{listening}");
    }
    let address = read_address(errors, field, text);
    compact_str::format_compact!("{address}")
}

fn read_listeners(
    errors: &mut FieldErrors,
    settings: Vec<raw::ListenerSettings>,
) -> SmallVec<[ListenerConfig; 2]> {
    let mut listeners: SmallVec<[ListenerConfig; 2]> = SmallVec::new();
    for (index, setting) in settings.into_iter().enumerate() {
        let name_field = format!("listeners[{index}].name");
        let address_field = format!("listeners[{index}].address");
        check_name(errors, &name_field, &setting.name);
        errors.check(
            listeners.iter().all(|known| known.name != setting.name),
            || {
                FieldError::new(
                    name_field.as_str(),
                    &setting.name,
                    "a name that is used once",
                )
            },
        );
        listeners.push(ListenerConfig {
            address: read_address(errors, &address_field, &setting.address),
            name: setting.name.into(),
        });
    }
    listeners
}

fn read_secrets(
    errors: &mut FieldErrors,
    settings: Vec<raw::SecretSettings>,
) -> SmallVec<[SecretConfig; 2]> {
    let mut secrets: SmallVec<[SecretConfig; 2]> = SmallVec::new();
    for (index, setting) in settings.into_iter().enumerate() {
        let field = format!("secrets[{index}].name");
        check_name(errors, &field, &setting.name);
        errors.check(
            secrets.iter().all(|known| known.name != setting.name),
            || FieldError::new(field.as_str(), &setting.name, "a name that is used once"),
        );
        errors.check(
            setting.value.bytes().all(|byte| byte.is_ascii_graphic()),
            || {
                let field = format!("secrets[{index}].value");
                FieldError::new(field, "(hidden)", "printable ASCII without spaces")
            },
        );
        secrets.push(SecretConfig {
            name: setting.name.into(),
            value: setting.value.into(),
        });
    }
    secrets
}

fn read_store(errors: &mut FieldErrors, settings: Option<raw::StoreSettings>) -> StoreConfig {
    let settings = settings.unwrap_or_default();
    errors.check(!settings.endpoints.is_empty(), || {
        FieldError::new("store.endpoints", "[]", "at least one URL")
    });
    for (index, endpoint) in settings.endpoints.iter().enumerate() {
        errors.check(endpoint.starts_with("http://"), || {
            let field = format!("store.endpoints[{index}]");
            FieldError::new(field, endpoint, "a URL that starts with http://")
        });
    }
    let timeout = Duration::from_millis(settings.timeout_ms.into());
    StoreConfig {
        endpoints: settings.endpoints.iter().map(CompactString::from).collect(),
        timeout: if timeout.is_zero() {
            DEFAULT_STORE_TIMEOUT
        } else {
            timeout
        },
    }
}

impl TryFrom<raw::StoreSettings> for StoreConfig {
    type Error = FieldErrors;

    fn try_from(settings: raw::StoreSettings) -> Result<Self, Self::Error> {
        let mut errors = FieldErrors::default();
        let config = read_store(&mut errors, Some(settings));
        errors.finish(config)
    }
}

fn read_contacts(errors: &mut FieldErrors, contacts: &[String]) -> SmallVec<[CompactString; 4]> {
    for (index, contact) in contacts.iter().enumerate() {
        read_address(errors, &format!("contacts[{index}]"), contact);
    }
    contacts.iter().map(CompactString::from).collect()
}

fn read_threads(errors: &mut FieldErrors, threads: u32) -> usize {
    errors.check(threads <= MAX_WORKER_THREADS, || {
        FieldError::new("worker_threads", threads, "a whole number from 0 to 64")
    });
    if threads == 0 {
        return DEFAULT_WORKER_THREADS;
    }
    threads as usize
}

/// State of a node's local target, as announced by the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetState {
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Profile that the service selects; empty for the built-in default.
    pub profile: ProfileName,
    /// Address at which the node connects to the target.
    pub address: SocketAddr,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Number of connections that the target accepts.
    pub connections: u32,
    /// Number of requests in flight, as reported by the target; it arrives late and can be wrong.
    pub reported_load: u32,
    /// True once the target is draining.
    pub draining: bool,
}

impl TryFrom<raw::TargetAnnouncement> for TargetState {
    type Error = FieldErrors;

    fn try_from(announcement: raw::TargetAnnouncement) -> Result<Self, Self::Error> {
        let mut errors = FieldErrors::default();
        check_name(&mut errors, "service", &announcement.service);
        if !announcement.profile.is_empty() {
            check_name(&mut errors, "profile", &announcement.profile);
        }
        for (field, value) in [
            ("slots", announcement.slots),
            ("connections", announcement.connections),
        ] {
            errors.check((1..=10_000).contains(&value), || {
                FieldError::new(field, value, "a whole number from 1 to 10000")
            });
        }
        let state = Self {
            address: read_address(&mut errors, "address", &announcement.address),
            service: announcement.service.into(),
            profile: announcement.profile.into(),
            slots: announcement.slots,
            connections: announcement.connections,
            reported_load: announcement.reported_load,
            draining: announcement.draining,
        };
        errors.finish(state)
    }
}

/// Kind of a scripted fault of the store stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreFaultKind {
    /// Calls are not answered.
    #[default]
    Outage,
    /// Answers are delayed.
    Slow,
    /// Writes take effect, but their answers are lost.
    LostAnswer,
    /// Watches are terminated.
    LostWatch,
}

/// A scripted fault of the store stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScriptedStoreFault {
    /// Kind of the fault.
    pub kind: StoreFaultKind,
    /// Start of the fault, relative to the start of the process.
    pub from: Duration,
    /// End of the fault, relative to the start of the process.
    pub until: Duration,
    /// Additional delay of calls during a fault of kind [`Slow`](StoreFaultKind::Slow).
    pub delay: Duration,
    /// Prefix of the affected keys; empty affects all keys.
    pub key_prefix: CompactString,
    /// Number of answers that are lost; 0 loses all of them.
    pub count: u32,
}

/// Settings of the store stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreStandinConfig {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Writes per second above which calls are refused; 0 means no limit.
    pub writes_per_second: u32,
    /// Reads per second above which calls are refused; 0 means no limit.
    pub reads_per_second: u32,
    /// Time taken to answer each call.
    pub answer: Duration,
    /// Scripted faults.
    pub faults: Vec<ScriptedStoreFault>,
}

impl TryFrom<raw::StoreStandinSettings> for StoreStandinConfig {
    type Error = FieldErrors;

    fn try_from(settings: raw::StoreStandinSettings) -> Result<Self, Self::Error> {
        let mut errors = FieldErrors::default();
        let config = Self {
            address: read_address(&mut errors, "address", &settings.address),
            writes_per_second: settings.writes_per_second,
            reads_per_second: settings.reads_per_second,
            answer: Duration::from_millis(settings.answer_ms.into()),
            faults: read_faults(&mut errors, settings.faults),
        };
        errors.finish(config)
    }
}

impl TryFrom<raw::StoreFault> for ScriptedStoreFault {
    type Error = FieldErrors;

    fn try_from(fault: raw::StoreFault) -> Result<Self, Self::Error> {
        let mut errors = FieldErrors::default();
        let mut rules = read_faults(&mut errors, vec![fault]);
        errors.finish(())?;
        Ok(rules.remove(0))
    }
}

fn read_faults(errors: &mut FieldErrors, faults: Vec<raw::StoreFault>) -> Vec<ScriptedStoreFault> {
    let mut rules = Vec::with_capacity(faults.len());
    for (index, fault) in faults.into_iter().enumerate() {
        let path = format!("faults[{index}]");
        errors.check(fault.from_ms < fault.until_ms, || {
            FieldError::new(
                format!("{path}.until_ms"),
                fault.until_ms,
                "more than from_ms",
            )
        });
        rules.push(ScriptedStoreFault {
            kind: read_enum(
                errors,
                &format!("{path}.kind"),
                &fault.kind,
                "outage, slow, lost-answer or lost-watch",
            ),
            from: Duration::from_millis(fault.from_ms.into()),
            until: Duration::from_millis(fault.until_ms.into()),
            delay: Duration::from_millis(fault.delay_ms.into()),
            key_prefix: fault.key_prefix.into(),
            count: fault.count,
        });
    }
    rules
}

/// Settings of the target stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetStandinConfig {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Admin URL of the target's node.
    pub node_url: CompactString,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Profile that the service selects; empty for the built-in default.
    pub profile: ProfileName,
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Number of connections that are accepted concurrently.
    pub connections: u32,
    /// Service time of short requests.
    pub short: Duration,
    /// Service time of long requests.
    pub long: Duration,
    /// Warm-up time after the start, during which requests are slower.
    pub cold_start: Duration,
    /// Factor applied to service times during the warm-up.
    pub cold_factor: u32,
    /// Factor applied to all service times.
    pub slow_factor: u32,
    /// Delay with which the load is reported.
    pub report_delay: Duration,
    /// Number of requests in flight above which requests are shed; 0 disables shedding.
    pub shed_above: u32,
    /// Seed of the random service times.
    pub seed: u64,
    /// File to which the start and end of every request are appended; empty disables the journal.
    pub journal_file: CompactString,
}

impl TryFrom<raw::TargetStandinSettings> for TargetStandinConfig {
    type Error = FieldErrors;

    fn try_from(settings: raw::TargetStandinSettings) -> Result<Self, Self::Error> {
        let mut errors = FieldErrors::default();
        check_name(&mut errors, "service", &settings.service);
        errors.check(settings.node_url.starts_with("http://"), || {
            FieldError::new(
                "node_url",
                &settings.node_url,
                "a URL that starts with http://",
            )
        });
        let config = Self {
            address: read_address(&mut errors, "address", &settings.address),
            node_url: settings.node_url.into(),
            service: settings.service.into(),
            profile: settings.profile.into(),
            slots: settings.slots.max(1),
            connections: settings.connections.max(1),
            short: Duration::from_millis(settings.short_ms.into()),
            long: Duration::from_millis(settings.long_ms.into()),
            cold_start: Duration::from_millis(settings.cold_start_ms.into()),
            cold_factor: settings.cold_factor.max(1),
            slow_factor: settings.slow_factor.max(1),
            report_delay: Duration::from_millis(settings.report_delay_ms.into()),
            shed_above: settings.shed_above,
            seed: settings.seed,
            journal_file: settings.journal_file.into(),
        };
        errors.finish(config)
    }
}

/// Faults injected into one direction of a fault-injecting link.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkImpairment {
    /// Delay of each chunk of data.
    pub delay: Duration,
    /// Maximum random addition to the delay.
    pub jitter: Duration,
    /// Bandwidth in bytes per second; `None` means no limit.
    pub bandwidth: Option<u64>,
    /// While set, data is accepted but not delivered.
    pub stall: bool,
    /// While set, existing connections are closed and new ones refused.
    pub cut: bool,
    /// Number of bytes of a connection after which further data is dropped without closing the
    /// connection; `None` never drops data.
    pub half_open_after: Option<u64>,
}

impl From<raw::LinkFault> for LinkImpairment {
    fn from(fault: raw::LinkFault) -> Self {
        Self {
            delay: Duration::from_millis(fault.delay_ms.into()),
            jitter: Duration::from_millis(fault.jitter_ms.into()),
            bandwidth: (fault.bandwidth > 0).then_some(fault.bandwidth),
            stall: fault.stall,
            cut: fault.cut,
            half_open_after: (fault.half_open_after > 0).then_some(fault.half_open_after),
        }
    }
}

/// Settings of the fault-injecting link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkConfig {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Address to which connections are forwarded.
    pub upstream: SocketAddr,
    /// Address of the admin endpoints that change the faults.
    pub admin_address: SocketAddr,
    /// Faults in the direction from the client to the upstream.
    pub to_upstream: LinkImpairment,
    /// Faults in the direction from the upstream to the client.
    pub to_client: LinkImpairment,
    /// Seed of the random jitter.
    pub seed: u64,
}

impl TryFrom<raw::LinkSettings> for LinkConfig {
    type Error = FieldErrors;

    fn try_from(settings: raw::LinkSettings) -> Result<Self, Self::Error> {
        let mut errors = FieldErrors::default();
        let config = Self {
            address: read_address(&mut errors, "address", &settings.address),
            upstream: read_address(&mut errors, "upstream", &settings.upstream),
            admin_address: read_address(&mut errors, "admin_address", &settings.admin_address),
            to_upstream: settings.to_upstream.unwrap_or_default().into(),
            to_client: settings.to_client.unwrap_or_default().into(),
            seed: settings.seed,
        };
        errors.finish(config)
    }
}

/// Settings of an open-loop load generator run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadConfig {
    /// Base URLs of the entry nodes, used in turn.
    pub urls: Vec<CompactString>,
    /// Rate at which calls are sent, regardless of the answers.
    pub calls_per_second: u32,
    /// Duration of the run.
    pub duration: Duration,
    /// Timeout of each call.
    pub timeout: Duration,
    /// Percentage of calls that are sent to `long_path`.
    pub long_percent: u32,
    /// Path of short calls.
    pub short_path: CompactString,
    /// Path of long calls.
    pub long_path: CompactString,
    /// Seed of the random arrival times and of the choice between short and long calls.
    pub seed: u64,
}

impl TryFrom<raw::LoadSettings> for LoadConfig {
    type Error = FieldErrors;

    fn try_from(settings: raw::LoadSettings) -> Result<Self, Self::Error> {
        let mut errors = FieldErrors::default();
        errors.check(!settings.urls.is_empty(), || {
            FieldError::new("urls", "[]", "at least one URL")
        });
        errors.check(settings.calls_per_second > 0, || {
            FieldError::new("calls_per_second", 0, "at least 1")
        });
        errors.check(settings.long_percent <= 100, || {
            FieldError::new("long_percent", settings.long_percent, "at most 100")
        });
        let config = Self {
            urls: settings.urls.iter().map(CompactString::from).collect(),
            calls_per_second: settings.calls_per_second,
            duration: Duration::from_millis(settings.duration_ms.into()),
            timeout: Duration::from_millis(settings.timeout_ms.into()),
            long_percent: settings.long_percent,
            short_path: settings.short_path.into(),
            long_path: settings.long_path.into(),
            seed: settings.seed,
        };
        errors.finish(config)
    }
}
