//! Hedging: second attempts of idempotent requests whose responses are overdue. See
//! `docs/platform.md`, section 5.

use std::pin::Pin;
use std::time::Instant;

use apricotfold_model::{ServiceName, log_event};

use crate::entry_call::{ChosenTarget, EntryCall};
use crate::target_call::{TargetRefusal, TargetResponse};
use crate::telemetry;

/// Share of the retry budget that may be spent on hedges.
const HEDGE_BUDGET_SHARE: f64 = 0.8;

impl EntryCall<'_> {
    /// Sends the request to a target, and to a second one if the response is overdue and the
    /// request may run twice. Returns the result that counts, with its target.
    pub(crate) async fn send_hedged(
        &mut self,
        chosen: ChosenTarget,
        service: &ServiceName,
    ) -> (Result<TargetResponse, TargetRefusal>, ChosenTarget) {
        let overdue = chosen.pick.overdue_after();
        let ended = {
            let mut first = std::pin::pin!(self.send(&chosen, false));
            match tokio::time::timeout(overdue, first.as_mut()).await {
                Ok(result) => SendResult::Alone(Box::new(result)),
                Err(_) => match self.choose_hedge(service) {
                    None => SendResult::Alone(Box::new(first.await)),
                    Some(second) => {
                        let winner = first_answer(first, self.send(&second, true)).await;
                        SendResult::Hedged(Box::new((winner, second)))
                    }
                },
            }
        };
        let (winner, second) = match ended {
            SendResult::Alone(result) => return (*result, chosen),
            SendResult::Hedged(both) => *both,
        };
        self.tried.push(second.record.node.clone());
        self.retries.record_superseded();
        match winner {
            HedgeWinner::First(result) => (result, chosen),
            HedgeWinner::Second(result) => {
                let node = &chosen.record.node;
                self.engine.selector().record_superseded(node);
                (result, second)
            }
        }
    }

    /// Selects the target of a second attempt, if one may be sent.
    fn choose_hedge(&self, service: &ServiceName) -> Option<ChosenTarget> {
        if !self.retries.may_hedge() {
            return None;
        }
        let second = self.find_target(service).ok()?;
        let left = self.routed.left();
        let in_time = second.pick.expected < left;
        if !in_time || !second.pick.may_hedge() {
            return None;
        }
        if !self.may_spend_within(service, HEDGE_BUDGET_SHARE) {
            return None;
        }
        telemetry::count_repeat("overdue");
        log_event!(
            info,
            CallHedged,
            "id={} tried {:?}, now {}, {left:?} left",
            self.request.log_id(),
            self.tried,
            second.record.node
        );
        self.engine
            .selector()
            .start(&second.record.node, Instant::now());
        Some(second)
    }
}

/// Result of a send, with or without a second attempt.
enum SendResult {
    Alone(Box<Result<TargetResponse, TargetRefusal>>),
    Hedged(Box<(HedgeWinner, ChosenTarget)>),
}

/// The attempt whose result counts.
enum HedgeWinner {
    First(Result<TargetResponse, TargetRefusal>),
    Second(Result<TargetResponse, TargetRefusal>),
}

/// Waits for the first usable response of two attempts, or for the last failure. The other attempt
/// is dropped, which cancels its work.
async fn first_answer(
    mut first: Pin<&mut impl Future<Output = Result<TargetResponse, TargetRefusal>>>,
    second: impl Future<Output = Result<TargetResponse, TargetRefusal>>,
) -> HedgeWinner {
    let mut second = std::pin::pin!(second);
    let usable = |result: &Result<TargetResponse, TargetRefusal>| {
        result
            .as_ref()
            .is_ok_and(|answer| !answer.status.is_server_error())
    };
    tokio::select! {
        result = first.as_mut() => {
            if usable(&result) {
                return HedgeWinner::First(result);
            }
            HedgeWinner::Second(second.await)
        }
        result = second.as_mut() => {
            if usable(&result) {
                return HedgeWinner::Second(result);
            }
            HedgeWinner::First(first.await)
        }
    }
}
