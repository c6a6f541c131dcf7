//! Learns of changes from the relays of the data centre instead of the store. See
//! `docs/platform.md`, section 4.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::log_event;
use apricotfold_policy::{FollowRole, RelayNodes, choose_role};

use crate::engine::Engine;
use crate::peer_exchange::{ExchangeAnswer, ask};

/// Interval at which a follower asks one of its relays. With two relays in turn, a change that
/// one of them has missed arrives after two intervals.
const ASK_INTERVAL: Duration = Duration::from_millis(450);

/// Age of the relay's last word from the store above which it does not count as a relay.
const MAX_RELAY_AGE: Duration = Duration::from_millis(2_600);

/// Useless answers in a row after which a node follows the store itself.
const MAX_FAILURES: u32 = 2;

/// Time for which it then does so at least.
const DIRECT_TIME: Duration = Duration::from_secs(8);

/// Follows relays while they are of use.
pub struct RelayFollower {
    engine: Arc<Engine>,
    failures: u32,
    turn: usize,
    direct_until: Instant,
}

impl RelayFollower {
    /// Prepares the follower; a node that has just started follows the store.
    pub fn new(engine: Arc<Engine>) -> Self {
        Self {
            engine,
            failures: 0,
            turn: 0,
            direct_until: Instant::now() + DIRECT_TIME,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(ASK_INTERVAL).await;
            match self.role() {
                FollowRole::Direct => self.engine.follow_store(true),
                FollowRole::Through(relays) => self.ask_relay(&relays).await,
            }
        }
    }

    fn role(&self) -> FollowRole {
        let config = self.engine.config.load();
        let registry = self.engine.registry();
        choose_role(&config.node, &config.data_centre, registry.records())
    }

    async fn ask_relay(&mut self, relays: &RelayNodes) {
        let following = self.engine.follows_store();
        if following && Instant::now() < self.direct_until {
            return;
        }
        self.turn += 1;
        let relay = &relays[self.turn % relays.len()];
        let address = self
            .engine
            .registry()
            .record(relay)
            .map(|record| record.address);
        let Some(address) = address else {
            return;
        };
        let usable = match ask(&self.engine, address).await {
            Ok(answer) => is_usable(&answer),
            Err(cause) => {
                log_event!(debug, ExchangeFailed, "{relay} at {address}: {cause}");
                false
            }
        };
        if usable {
            self.failures = 0;
            if following {
                log_event!(info, RelayChanged, "follows {relays:?}");
                self.engine.follow_store(false);
            }
            return;
        }
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            self.failures = 0;
            self.direct_until = Instant::now() + DIRECT_TIME;
            if !following {
                log_event!(
                    info,
                    RelayChanged,
                    "follows the store, no word of {relays:?}"
                );
                self.engine.follow_store(true);
            }
        }
    }
}

fn is_usable(answer: &ExchangeAnswer) -> bool {
    let age = answer.store_age_ms.map(Duration::from_millis);
    answer.follows_store && age.is_some_and(|age| age <= MAX_RELAY_AGE)
}
