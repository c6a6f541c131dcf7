//! Numbered log events. `docs/events.md` lists every one with what an operator does about it; a
//! test compares the list with this file and with the places that log them.

use strum::{AsRefStr, Display, EnumIter, EnumMessage, IntoStaticStr};

/// Number of a log event. The thousands tell the area: 1 process, 2 configuration, 3 calls,
/// 4 membership and peers, 5 store and relays.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, AsRefStr, Display, EnumIter, EnumMessage, IntoStaticStr,
)]
pub enum EventCode {
    /// The process has started.
    #[strum(serialize = "AF1001", message = "started")]
    Started,
    /// The process drains and will exit.
    #[strum(serialize = "AF1002", message = "draining")]
    DrainStarted,
    /// The process has finished its work and exits.
    #[strum(serialize = "AF1003", message = "stopped")]
    Stopped,
    /// A listener cannot be opened.
    #[strum(serialize = "AF1004", message = "listen failed")]
    ListenFailed,
    /// A target announced itself or changed.
    #[strum(serialize = "AF1005", message = "target announced")]
    TargetAnnounced,
    /// The target left or stopped announcing itself.
    #[strum(serialize = "AF1006", message = "target gone")]
    TargetGone,
    /// The settings file was read again.
    #[strum(serialize = "AF1007", message = "settings reloaded")]
    SettingsReloaded,
    /// The settings file cannot be used; the former settings stay.
    #[strum(serialize = "AF1008", message = "settings refused")]
    SettingsRefused,
    /// Log lines were left out to bound the volume.
    #[strum(serialize = "AF1009", message = "log lines dropped")]
    LogLinesDropped,
    /// An announcement was ignored.
    #[strum(serialize = "AF1010", message = "announcement ignored")]
    AnnouncementIgnored,
    /// The platform may send callers to this node, or may not.
    #[strum(serialize = "AF1011", message = "readiness changed")]
    ReadinessChanged,
    /// A connection ended with an error.
    #[strum(serialize = "AF1012", message = "connection failed")]
    ConnectionFailed,
    /// A new profile version is in force on this node.
    #[strum(serialize = "AF2001", message = "version applied")]
    VersionApplied,
    /// This node can apply the candidate.
    #[strum(serialize = "AF2002", message = "version prepared")]
    VersionPrepared,
    /// This node refuses the candidate.
    #[strum(serialize = "AF2003", message = "version refused")]
    VersionRefused,
    /// An accepted version cannot be applied here; the older one stays in force.
    #[strum(serialize = "AF2004", message = "version not applicable")]
    VersionNotApplicable,
    /// Somebody offered an older version than the known one.
    #[strum(serialize = "AF2005", message = "older version ignored")]
    OlderVersionIgnored,
    /// A candidate was decided.
    #[strum(serialize = "AF2006", message = "publish decided")]
    PublishDecided,
    /// A route became active or inactive because its parts came or went.
    #[strum(serialize = "AF2007", message = "route changed")]
    RouteChanged,
    /// A new route table is in force on this node.
    #[strum(serialize = "AF2008", message = "route table applied")]
    TableApplied,
    /// A route table cannot be used; the former one stays in force.
    #[strum(serialize = "AF2009", message = "route table refused")]
    TableRefused,
    /// A target was chosen for a call.
    #[strum(serialize = "AF3001", message = "call routed")]
    CallRouted,
    /// A call was admitted to the local target.
    #[strum(serialize = "AF3002", message = "call admitted")]
    CallAdmitted,
    /// A call was refused.
    #[strum(serialize = "AF3003", message = "call refused")]
    CallRefused,
    /// A call is sent again.
    #[strum(serialize = "AF3004", message = "call retried")]
    CallRetried,
    /// A second attempt of a slow call is sent.
    #[strum(serialize = "AF3005", message = "call hedged")]
    CallHedged,
    /// A target is left out for a while.
    #[strum(serialize = "AF3006", message = "target quarantined")]
    TargetQuarantined,
    /// A request is stopped because it was in flight at crashes.
    #[strum(serialize = "AF3007", message = "request blocked")]
    RequestBlocked,
    /// An answer broke off after its start.
    #[strum(serialize = "AF3008", message = "answer cut")]
    AnswerCut,
    /// A request outlived the drain's grace period.
    #[strum(serialize = "AF3009", message = "request cut by drain")]
    DrainGraceExpired,
    /// A keyed order was claimed, replayed or refused.
    #[strum(serialize = "AF3010", message = "order claim")]
    OrderClaim,
    /// A call was answered.
    #[strum(serialize = "AF3011", message = "call answered")]
    CallAnswered,
    /// A caller left before its answer.
    #[strum(serialize = "AF3012", message = "caller left")]
    CallerLeft,
    /// A request was in flight when its target crashed.
    #[strum(serialize = "AF3013", message = "crash recorded")]
    CrashRecorded,
    /// The target sent an answer that does not belong to the request.
    #[strum(serialize = "AF3014", message = "foreign answer")]
    ForeignAnswer,
    /// A peer stream opened.
    #[strum(serialize = "AF4001", message = "peer connected")]
    PeerConnected,
    /// A peer stream ended.
    #[strum(serialize = "AF4002", message = "peer lost")]
    PeerLost,
    /// A member is suspected.
    #[strum(serialize = "AF4003", message = "member suspected")]
    MemberSuspected,
    /// A member is considered gone.
    #[strum(serialize = "AF4004", message = "member gone")]
    MemberGone,
    /// A member joined or came back.
    #[strum(serialize = "AF4005", message = "member joined")]
    MemberJoined,
    /// A new stream was refused because too many arrived at once.
    #[strum(serialize = "AF4006", message = "peer refused")]
    PeerRefused,
    /// A data centre is considered lost or has come back.
    #[strum(serialize = "AF4007", message = "data centre changed")]
    DataCentreChanged,
    /// An instance of a service came, changed or went.
    #[strum(serialize = "AF4008", message = "instance changed")]
    InstanceChanged,
    /// Configuration or instances were learned from a peer.
    #[strum(serialize = "AF4009", message = "learned from peer")]
    LearnedFromPeer,
    /// A peer did not answer an exchange.
    #[strum(serialize = "AF4010", message = "peer exchange failed")]
    ExchangeFailed,
    /// The store answers again.
    #[strum(serialize = "AF5001", message = "store available")]
    StoreAvailable,
    /// The store does not answer.
    #[strum(serialize = "AF5002", message = "store unavailable")]
    StoreUnavailable,
    /// This node became or ceased to be a relay or gateway.
    #[strum(serialize = "AF5003", message = "relay role changed")]
    RelayRoleChanged,
    /// A write was refused because its fencing number is stale.
    #[strum(serialize = "AF5004", message = "stale fence refused")]
    StaleFence,
    /// A write whose answer was lost was settled by reading back.
    #[strum(serialize = "AF5005", message = "lost answer settled")]
    LostAnswerSettled,
    /// An entry of the store cannot be read.
    #[strum(serialize = "AF5006", message = "entry ignored")]
    EntryIgnored,
    /// This node wrote its instance to the store.
    #[strum(serialize = "AF5007", message = "registration written")]
    RegistrationWritten,
    /// This node's entry lapsed or could not be written.
    #[strum(serialize = "AF5008", message = "registration lost")]
    RegistrationLost,
}

/// Logs an event with its number in front.
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

/// Short name of an event, as it stands in the log and in `docs/events.md`.
#[must_use]
pub fn event_message(code: EventCode) -> &'static str {
    code.get_message().unwrap_or_default()
}
