//! Log event codes. `docs/events.md` lists every event together with the operator's response. A
//! test compares that list with this file and checks that every event is logged somewhere.

use strum::{AsRefStr, Display, EnumIter, EnumMessage, IntoStaticStr};

/// Code of a log event. The thousands digit gives the area: 1 for the process, 2 for configuration,
/// 3 for calls, 4 for membership and peers, 5 for the store and relays.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, AsRefStr, Display, EnumIter, EnumMessage, IntoStaticStr,
)]
pub enum EventCode {
    /// The process has started.
    #[strum(serialize = "AF1001", message = "started")]
    Started,
    /// The process has begun to drain before it exits.
    #[strum(serialize = "AF1002", message = "draining")]
    DrainStarted,
    /// The process has finished all requests and exits.
    #[strum(serialize = "AF1003", message = "stopped")]
    Stopped,
    /// A listening socket cannot be opened.
    #[strum(serialize = "AF1004", message = "listen failed")]
    ListenFailed,
    /// The local target announced itself or changed its announcement.
    #[strum(serialize = "AF1005", message = "target announced")]
    TargetAnnounced,
    /// The local target deregistered, crashed or stopped announcing itself.
    #[strum(serialize = "AF1006", message = "target gone")]
    TargetGone,
    /// The settings file was reloaded.
    #[strum(serialize = "AF1007", message = "settings reloaded")]
    SettingsReloaded,
    /// The settings file is invalid; the previous settings stay in force.
    #[strum(serialize = "AF1008", message = "settings refused")]
    SettingsRefused,
    /// Log lines were dropped to limit the log volume.
    #[strum(serialize = "AF1009", message = "log lines dropped")]
    LogLinesDropped,
    /// An announcement of a target was ignored because it is invalid or out of date.
    #[strum(serialize = "AF1010", message = "announcement ignored")]
    AnnouncementIgnored,
    /// The node's answer to the platform's readiness check changed.
    #[strum(serialize = "AF1011", message = "readiness changed")]
    ReadinessChanged,
    /// A connection ended with an error.
    #[strum(serialize = "AF1012", message = "connection failed")]
    ConnectionFailed,
    /// The time of day jumped against the steady clock.
    #[strum(serialize = "AF1013", message = "clock jumped")]
    ClockJumped,
    /// The local target announced its departure, but nobody else has confirmed that it knows of it.
    #[strum(serialize = "AF1014", message = "departure not kept")]
    DepartureNotKept,
    /// A limit on what strangers may make the node hold was reached.
    #[strum(serialize = "AF1015", message = "limit reached")]
    LimitReached,
    /// A setting cannot be used; its default or its former value is in force.
    #[strum(serialize = "AF1016", message = "setting ignored")]
    SettingIgnored,
    /// A profile version took effect on this node.
    #[strum(serialize = "AF2001", message = "version applied")]
    VersionApplied,
    /// This node voted for a candidate, since it can apply it.
    #[strum(serialize = "AF2002", message = "version prepared")]
    VersionPrepared,
    /// This node voted against a candidate.
    #[strum(serialize = "AF2003", message = "version refused")]
    VersionRefused,
    /// This node cannot apply an accepted version; the previous version stays in force.
    #[strum(serialize = "AF2004", message = "version not applicable")]
    VersionNotApplicable,
    /// A version older than the known one was received and ignored.
    #[strum(serialize = "AF2005", message = "older version ignored")]
    OlderVersionIgnored,
    /// A candidate was accepted or rejected.
    #[strum(serialize = "AF2006", message = "publish decided")]
    PublishDecided,
    /// A route became active or inactive because one of its dependencies appeared or disappeared.
    #[strum(serialize = "AF2007", message = "route changed")]
    RouteChanged,
    /// A route table took effect on this node.
    #[strum(serialize = "AF2008", message = "route table applied")]
    TableApplied,
    /// A route table is invalid; the previous one stays in force.
    #[strum(serialize = "AF2009", message = "route table refused")]
    TableRefused,
    /// A target was selected for a call.
    #[strum(serialize = "AF3001", message = "call routed")]
    CallRouted,
    /// A call was admitted and is passed to the local target.
    #[strum(serialize = "AF3002", message = "call admitted")]
    CallAdmitted,
    /// A call was refused before any target answered it.
    #[strum(serialize = "AF3003", message = "call refused")]
    CallRefused,
    /// A failed attempt of a call is retried.
    #[strum(serialize = "AF3004", message = "call retried")]
    CallRetried,
    /// A second attempt of a slow call was sent while the first was still in flight.
    #[strum(serialize = "AF3005", message = "call hedged")]
    CallHedged,
    /// A target was excluded from selection for a limited time.
    #[strum(serialize = "AF3006", message = "target quarantined")]
    TargetQuarantined,
    /// A request was blocked because it was in flight during several crashes of targets.
    #[strum(serialize = "AF3007", message = "request blocked")]
    RequestBlocked,
    /// The body of an answer ended early, after its head had been sent.
    #[strum(serialize = "AF3008", message = "answer cut")]
    AnswerCut,
    /// A request was still in flight when the drain's grace period expired.
    #[strum(serialize = "AF3009", message = "request cut by drain")]
    DrainGraceExpired,
    /// A request with an idempotency key was claimed, answered from a stored answer, or refused.
    #[strum(serialize = "AF3010", message = "order claim")]
    OrderClaim,
    /// The answer to a call was sent.
    #[strum(serialize = "AF3011", message = "call answered")]
    CallAnswered,
    /// A caller disconnected before its answer was sent.
    #[strum(serialize = "AF3012", message = "caller left")]
    CallerLeft,
    /// A request was in flight when its target crashed.
    #[strum(serialize = "AF3013", message = "crash recorded")]
    CrashRecorded,
    /// The target sent an answer that belongs to another request.
    #[strum(serialize = "AF3014", message = "foreign answer")]
    ForeignAnswer,
    /// A target states another request rate that it accepts, or no longer states one.
    #[strum(serialize = "AF3015", message = "rate limit changed")]
    RateLimitChanged,
    /// Another node reports that a request was in flight when a target crashed.
    #[strum(serialize = "AF3016", message = "crash learned")]
    CrashLearned,
    /// An answer cleared a request of the crashes known so far.
    #[strum(serialize = "AF3017", message = "suspicion cleared")]
    SuspicionCleared,
    /// A call lost its connection to the target, which is not known to have crashed.
    #[strum(serialize = "AF3018", message = "crash not counted")]
    CrashNotCounted,
    /// The learned limit on concurrent runs at the local target changed.
    #[strum(serialize = "AF3019", message = "target pace changed")]
    TargetPaceChanged,
    /// A stream to or from a peer was opened.
    #[strum(serialize = "AF4001", message = "peer connected")]
    PeerConnected,
    /// A stream to or from a peer ended.
    #[strum(serialize = "AF4002", message = "peer lost")]
    PeerLost,
    /// A member is suspected of having failed.
    #[strum(serialize = "AF4003", message = "member suspected")]
    MemberSuspected,
    /// A member was declared failed or has left.
    #[strum(serialize = "AF4004", message = "member gone")]
    MemberGone,
    /// A member joined or rejoined.
    #[strum(serialize = "AF4005", message = "member joined")]
    MemberJoined,
    /// An incoming stream was refused because too many were being opened at once.
    #[strum(serialize = "AF4006", message = "peer refused")]
    PeerRefused,
    /// A data centre became unreachable or reachable again.
    #[strum(serialize = "AF4007", message = "data centre changed")]
    DataCentreChanged,
    /// An instance of a service appeared, changed or disappeared.
    #[strum(serialize = "AF4008", message = "instance changed")]
    InstanceChanged,
    /// Configuration or instances were received from a peer instead of the store.
    #[strum(serialize = "AF4009", message = "learned from peer")]
    LearnedFromPeer,
    /// An exchange with a peer failed or timed out.
    #[strum(serialize = "AF4010", message = "peer exchange failed")]
    ExchangeFailed,
    /// The number of tenants whose quotas this node owns changed.
    #[strum(serialize = "AF4011", message = "quota owner changed")]
    QuotaOwnerChanged,
    /// The owner of quotas does not answer.
    #[strum(serialize = "AF4012", message = "quota owner silent")]
    QuotaOwnerSilent,
    /// A message about quotas is invalid or out of date.
    #[strum(serialize = "AF4013", message = "quota message refused")]
    QuotaMessageRefused,
    /// The store responds again after an outage.
    #[strum(serialize = "AF5001", message = "store available")]
    StoreAvailable,
    /// The store does not respond.
    #[strum(serialize = "AF5002", message = "store unavailable")]
    StoreUnavailable,
    /// This node acquired or lost the role of relay or gateway.
    #[strum(serialize = "AF5003", message = "relay role changed")]
    RelayRoleChanged,
    /// A relay's fencing token became stale because another node took its slot.
    #[strum(serialize = "AF5004", message = "stale fence refused")]
    StaleFence,
    /// The effect of a write whose response was lost was determined by reading the key again.
    #[strum(serialize = "AF5005", message = "lost answer settled")]
    LostAnswerSettled,
    /// A store entry was ignored because it cannot be parsed.
    #[strum(serialize = "AF5006", message = "entry ignored")]
    EntryIgnored,
    /// This node registered its instance in the store.
    #[strum(serialize = "AF5007", message = "registration written")]
    RegistrationWritten,
    /// This node's registration expired or could not be written.
    #[strum(serialize = "AF5008", message = "registration lost")]
    RegistrationLost,
    /// The store has come back from an older copy.
    #[strum(serialize = "AF5009", message = "store restored")]
    StoreRestored,
    /// Another node knows an earlier process of this node under a number that is not below its own.
    #[strum(serialize = "AF5010", message = "epoch raised")]
    EpochRaised,
    /// The open watches of the store were opened anew, because their answers may be lost.
    #[strum(serialize = "AF5011", message = "watch reopened")]
    WatchReopened,
    /// The operators have ordered a canary rollout.
    #[strum(serialize = "AF5012", message = "rollout ordered")]
    RolloutOrdered,
    /// A rollout order was ignored because it is invalid.
    #[strum(serialize = "AF5013", message = "rollout refused")]
    RolloutRefused,
    /// The record of a rollout was written or changed.
    #[strum(serialize = "AF5014", message = "rollout changed")]
    RolloutChanged,
    /// The node that decides on a rollout has found the new version bad.
    #[strum(serialize = "AF5015", message = "rollout stopped")]
    RolloutStopped,
    /// The node that decides on a rollout has ended it.
    #[strum(serialize = "AF5016", message = "rollout decided")]
    RolloutDecided,
}

/// Logs an event at the given level; its code and message precede the formatted text.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $code:ident, $($text:tt)+) => {
        $crate::log_crate::$level!(
            "{} {}: {}",
            $crate::EventCode::$code.as_ref(),
            $crate::event_message($crate::EventCode::$code),
            format_args!($($text)+)
        )
    };
}

/// Returns the fixed message of an event, as it appears in the log and in `docs/events.md`.
#[must_use]
pub fn event_message(code: EventCode) -> &'static str {
    code.get_message().unwrap_or_default()
}
