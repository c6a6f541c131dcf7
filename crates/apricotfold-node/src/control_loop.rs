//! Passes events to the control plane's core and executes the actions that it returns.
//!
//! One task owns the [`ControlCore`]. Peer streams, the store session and the admin endpoints send
//! it events; see `docs/design.md`, section 5.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use apricotfold_control::{
    ControlAction, ControlConfig, ControlCore, ControlEvent, StreamDirection, StreamId,
};
use apricotfold_model::{HeadState, MeshProfile, ProfileBundle, log_event};
use apricotfold_schema::peer::{CandidateBody, HeadBody, Hello, PeerMessage, peer_message};
use tokio::sync::mpsc;
use tonic::Status;

use crate::control_view::{read_status, read_view};
use crate::enforce::ProfileEnforcer;
use crate::peer_streams::{self, StreamSender};
use crate::state::NodeState;
use crate::store_session::StoreSession;

const TICK: Duration = Duration::from_millis(50);
/// Minimum interval between two rebuilds of the view. The loss of a data centre changes hundreds of
/// endpoints at nearly the same time.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of the input queue. When it is full, the streams have to wait.
const EVENT_QUEUE_CAPACITY: usize = 1024;

/// Input of the control loop.
pub enum LoopInput {
    /// An event for the core.
    Event(ControlEvent),
    /// A stream was established, and messages can be sent on it.
    Opened {
        /// Id of the stream, unique within this process.
        stream: StreamId,
        /// First message of the peer, with its identity and addresses.
        hello: Hello,
        /// Which side opened the stream.
        direction: StreamDirection,
        /// Queue of messages to the peer.
        sender: StreamSender,
    },
}

/// Sending half of the input queue; sending waits while the queue is full.
pub type LoopSender = mpsc::Sender<LoopInput>;

/// Creates the input queue.
pub fn queue() -> (LoopSender, mpsc::Receiver<LoopInput>) {
    mpsc::channel(EVENT_QUEUE_CAPACITY)
}

/// State of the control loop's task.
pub struct ControlLoop {
    state: Arc<NodeState>,
    core: ControlCore,
    enforcer: ProfileEnforcer,
    store: StoreSession,
    streams: HashMap<StreamId, StreamSender>,
    inputs: mpsc::Receiver<LoopInput>,
    sender: LoopSender,
    view_dirty: bool,
    view_built: Instant,
}

impl ControlLoop {
    /// Creates the control loop; [`run`](Self::run) starts it.
    ///
    /// # Errors
    ///
    /// Returns an error when the store client cannot be set up.
    pub fn new(
        state: Arc<NodeState>,
        sender: LoopSender,
        inputs: mpsc::Receiver<LoopInput>,
    ) -> eyre::Result<Self> {
        let now = Instant::now();
        let config = &state.config;
        let control = ControlConfig {
            node: config.node.clone(),
            region: config.region.clone(),
            data_centre: config.data_centre.clone(),
            control_address: config.advertised_control.clone(),
            mesh_address: config.advertised_mesh.clone(),
            admin_address: config.admin_address.to_string().into(),
            incarnation: state.incarnation,
            contacts: config.contacts.to_vec(),
            seed: state.seed,
        };
        Ok(Self {
            core: ControlCore::new(control, now),
            enforcer: ProfileEnforcer::new(state.clone()),
            store: StoreSession::new(config, sender.clone())?,
            streams: HashMap::new(),
            inputs,
            sender,
            view_dirty: true,
            view_built: now,
            state,
        })
    }

    /// Handles inputs until the process ends.
    pub async fn run(mut self) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut target = self.state.watch_target();
        let mut crashes = self.state.crash_reports.subscribe();
        let mut draining = false;
        loop {
            tokio::select! {
                _ = tick.tick() => {
                    self.handle(ControlEvent::Tick);
                    self.refresh_view();
                }
                Some(input) = self.inputs.recv() => self.handle_input(input),
                Ok(()) = target.changed() => {
                    let known = self.state.target();
                    self.handle(ControlEvent::TargetChanged(known));
                    if self.state.draining.load(Ordering::Relaxed) && !draining {
                        draining = true;
                        self.handle(ControlEvent::DrainStarted);
                    }
                    if self.state.leaving.load(Ordering::Relaxed) {
                        self.handle(ControlEvent::Leaving);
                    }
                }
                Ok(fingerprint) = crashes.recv() => {
                    self.handle(ControlEvent::CrashObserved { fingerprint });
                }
            }
        }
    }

    fn handle_input(&mut self, input: LoopInput) {
        match input {
            LoopInput::Event(event) => {
                if let ControlEvent::StreamClosed { stream } = &event {
                    self.streams.remove(stream);
                }
                self.handle(event);
            }
            LoopInput::Opened {
                stream,
                hello,
                direction,
                sender,
            } => self.accept_stream(stream, hello, direction, sender),
        }
    }

    /// Passes a new stream to the core. An inbound peer is sent this node's hello only after the
    /// core has accepted the stream, so that a refused peer never treats the stream as open.
    fn accept_stream(
        &mut self,
        stream: StreamId,
        hello: Hello,
        direction: StreamDirection,
        sender: StreamSender,
    ) {
        let greet = direction == StreamDirection::Inbound;
        let event = ControlEvent::StreamOpened {
            stream,
            hello,
            direction,
        };
        let actions = self.core.handle(event, Instant::now());
        let refused = |action: &ControlAction| matches!(action, ControlAction::RefuseStream { stream: refused, .. } if *refused == stream);
        self.streams.insert(stream, sender);
        if greet && !actions.iter().any(refused) {
            let body = peer_message::Body::Hello(self.core.hello());
            self.send(stream, PeerMessage { body: Some(body) });
        }
        self.execute_actions(actions);
    }

    fn handle(&mut self, event: ControlEvent) {
        let actions = self.core.handle(event, Instant::now());
        self.execute_actions(actions);
    }

    fn execute_actions(&mut self, actions: Vec<ControlAction>) {
        for action in actions {
            match action {
                ControlAction::OpenStream { address } => {
                    let hello = self.core.hello();
                    peer_streams::open_stream(&self.state, address, hello, self.sender.clone());
                }
                ControlAction::CloseStream { stream } => {
                    self.streams.remove(&stream);
                }
                ControlAction::RefuseStream {
                    stream,
                    retry_after,
                } => self.refuse(stream, retry_after),
                ControlAction::Send { stream, message } => self.send(stream, message),
                ControlAction::Prepare { candidate } => self.prepare(candidate),
                ControlAction::Apply { head } => self.apply(&head),
                ControlAction::EndpointsChanged => self.view_dirty = true,
                ControlAction::CrashCounts { fingerprint, count } => {
                    self.state.merge_crashes(&fingerprint, count);
                }
                ControlAction::StoreRequest { id, request } => self.store.start(id, request),
                ControlAction::Log { level, code, text } => {
                    let message = apricotfold_model::event_message(code);
                    log::log!(level, "{} {message}: {text}", code.as_ref());
                }
            }
        }
    }

    fn refuse(&mut self, stream: StreamId, retry_after: Duration) {
        log_event!(warn, PeerRefused, "stream {} for {retry_after:?}", stream.0);
        if let Some(sender) = self.streams.remove(&stream) {
            let _ = sender.try_send(Err(peer_streams::refusal_status(retry_after)));
        }
    }

    /// Queues a message for a peer. The stream of a peer that does not keep up is closed; the
    /// records that it missed are sent to it after it has reconnected.
    fn send(&mut self, stream: StreamId, message: PeerMessage) {
        let Some(sender) = self.streams.get(&stream) else {
            return;
        };
        if sender.try_send(Ok::<_, Status>(message)).is_err() {
            self.streams.remove(&stream);
            let event = LoopInput::Event(ControlEvent::StreamClosed { stream });
            let _ = self.sender.try_send(event);
        }
    }

    fn prepare(&mut self, candidate: CandidateBody) {
        let result = self.check_candidate(&candidate);
        let (profile, version) = (&candidate.profile, candidate.version);
        match &result {
            Ok(()) => log_event!(info, VersionPrepared, "profile {profile} version {version}"),
            Err(reason) => {
                log_event!(
                    warn,
                    VersionRefused,
                    "profile {profile} version {version}: {reason}"
                );
            }
        }
        self.handle(ControlEvent::PrepareResult {
            profile: candidate.profile.into(),
            version,
            publish_id: candidate.publish_id.into(),
            result: result.map_err(Into::into),
        });
    }

    fn check_candidate(&self, candidate: &CandidateBody) -> Result<(), String> {
        if candidate.withdrawn {
            return Ok(());
        }
        let bundle = ProfileBundle::expand(&candidate.bundle, &candidate.digest)
            .map_err(|error| error.to_string())?;
        self.enforcer
            .prepare(&bundle.profile)
            .map_err(|missing| format!("no {missing} on this node"))
    }

    fn apply(&mut self, head: &HeadBody) {
        let event = match self.apply_profile(head) {
            Ok(()) => ControlEvent::Applied {
                profile: head.profile.as_str().into(),
                version: head.version,
            },
            Err(reason) => {
                let (profile, version) = (&head.profile, head.version);
                log_event!(
                    error,
                    VersionNotApplicable,
                    "profile {profile} version {version}: {reason}"
                );
                ControlEvent::ApplyFailed {
                    profile: profile.as_str().into(),
                    version,
                    reason: reason.into(),
                }
            }
        };
        self.handle(event);
        self.view_dirty = true;
    }

    fn apply_profile(&mut self, head: &HeadBody) -> Result<(), String> {
        let profile = if head.withdrawn {
            MeshProfile::default()
        } else {
            let bundle = ProfileBundle::expand(&head.bundle, &head.digest);
            bundle.map_err(|error| error.to_string())?.profile
        };
        let state = if head.withdrawn {
            HeadState::Withdrawn
        } else {
            HeadState::Published
        };
        log::debug!("head {} version {} {state}", head.profile, head.version);
        self.enforcer
            .apply(profile, head.version)
            .map_err(|missing| format!("no {missing} on this node"))
    }

    fn refresh_view(&mut self) {
        let now = Instant::now();
        let status = read_status(&self.core, &self.state, now);
        self.state.ready.store(status.ready, Ordering::Relaxed);
        self.state.control.store(Arc::new(status));
        if !self.view_dirty || now.duration_since(self.view_built) < VIEW_INTERVAL {
            return;
        }
        self.view_dirty = false;
        self.view_built = now;
        let view = read_view(&self.core);
        self.enforcer.set_services(view.services());
        self.state.balancers.update(&view, now);
        self.state.view.store(Arc::new(view));
    }
}
