//! Requests and the close of a connection, against a model of what its caller sees.

use std::collections::VecDeque;
use std::time::Instant;

use apricotfold_policy::{IntakePhase, RequestIntake};
use proptest::prelude::*;

/// What happens next on a connection.
#[derive(Clone, Copy, Debug)]
enum ConnectionStep {
    /// The reading side has the head of a further request; `true` if the caller says it is the last.
    ReadHead(bool),
    /// The reading side has the body of the request that it reads.
    ReadBody,
    /// The body cannot be read, so that the request is refused and nothing follows it.
    RefuseBody,
    /// The writing side takes the next response and writes its head.
    WriteHead,
    /// The writing side ends the response.
    WriteEnd,
    /// No request arrives in time.
    Idle,
    /// The process enters the next phase.
    NextPhase,
}

fn step() -> impl Strategy<Value = ConnectionStep> {
    prop_oneof![
        6 => Just(ConnectionStep::ReadHead(false)),
        1 => Just(ConnectionStep::ReadHead(true)),
        6 => Just(ConnectionStep::ReadBody),
        1 => Just(ConnectionStep::RefuseBody),
        6 => Just(ConnectionStep::WriteHead),
        6 => Just(ConnectionStep::WriteEnd),
        1 => Just(ConnectionStep::Idle),
        1 => Just(ConnectionStep::NextPhase),
    ]
}

/// A connection as its two sides use the state. Requests are numbered.
#[derive(Default)]
struct Connection {
    intake: RequestIntake,
    phase: IntakePhase,
    read: usize,
    reading: Option<usize>,
    queue: VecDeque<usize>,
    writing: Option<(usize, bool)>,
    started: Vec<usize>,
    answered: Vec<usize>,
    announced: Option<usize>,
}

impl Connection {
    fn apply(&mut self, step: ConnectionStep) {
        match step {
            ConnectionStep::ReadHead(last) => {
                let stops = self.phase == IntakePhase::Closing && self.read > 0;
                if self.reading.is_some() || stops {
                    return;
                }
                self.read += 1;
                if self.intake.begin(self.phase, last) {
                    assert_eq!(self.announced, None, "started behind the close");
                    self.started.push(self.read);
                    self.reading = Some(self.read);
                }
            }
            ConnectionStep::ReadBody => self.queue.extend(self.reading.take()),
            ConnectionStep::RefuseBody => {
                if self.reading.is_some() {
                    self.intake.end();
                }
                self.queue.extend(self.reading.take());
            }
            ConnectionStep::WriteHead => {
                if self.writing.is_some() || self.announced.is_some() {
                    return;
                }
                let Some(request) = self.queue.pop_front() else {
                    return;
                };
                let close = self.intake.announces_close(self.phase);
                self.announced = close.then_some(request);
                self.writing = Some((request, close));
            }
            ConnectionStep::WriteEnd => {
                if let Some((request, _)) = self.writing.take() {
                    self.intake.finish(Instant::now());
                    self.answered.push(request);
                }
            }
            ConnectionStep::Idle => {
                if self.intake.is_idle() {
                    self.intake.end();
                }
            }
            ConnectionStep::NextPhase => {
                self.phase = match self.phase {
                    IntakePhase::Open => IntakePhase::Draining,
                    IntakePhase::Draining | IntakePhase::Closing => IntakePhase::Closing,
                };
            }
        }
    }

    /// Goes on until nothing happens any more.
    fn settle(&mut self) {
        for _ in 0..=self.started.len() * 2 {
            self.apply(ConnectionStep::ReadBody);
            self.apply(ConnectionStep::WriteHead);
            self.apply(ConnectionStep::WriteEnd);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// Guards against requests that are started behind the response that closes the connection, against
    /// a close in front of a request that was started, and against a connection that never closes.
    #[test]
    fn started_requests_are_answered(steps in proptest::collection::vec(step(), 1..60)) {
        let mut connection = Connection::default();
        for step in steps {
            connection.apply(step);
        }
        connection.phase = IntakePhase::Closing;
        connection.apply(ConnectionStep::ReadHead(false));
        connection.settle();
        prop_assert_eq!(&connection.answered, &connection.started);
        let ended = connection.intake.is_ending() || connection.intake.is_idle();
        prop_assert!(ended);
        if let Some(announced) = connection.announced {
            prop_assert_eq!(Some(&announced), connection.answered.last());
        }
    }

    /// Guards against a caller that always has several requests waiting and is never told to leave: a
    /// request that is read while the process closes is the last one.
    #[test]
    fn busy_connection_closes(waiting in 2..30_usize, more in 1..30_usize) {
        let mut connection = Connection::default();
        let take = |connection: &mut Connection| {
            connection.apply(ConnectionStep::ReadHead(false));
            connection.apply(ConnectionStep::ReadBody);
        };
        (0..waiting).for_each(|_| take(&mut connection));
        connection.phase = IntakePhase::Draining;
        connection.apply(ConnectionStep::WriteHead);
        connection.apply(ConnectionStep::WriteEnd);
        prop_assert_eq!(connection.announced, None);
        connection.intake.end();
        (0..more).for_each(|_| take(&mut connection));
        connection.settle();
        prop_assert_eq!(connection.announced, Some(waiting));
        prop_assert_eq!(&connection.answered, &connection.started);
    }
}

/// Guards against a connection on which heads that have arrived together are started one after the other
/// while the process closes.
#[test]
fn closing_takes_one() {
    let mut intake = RequestIntake::default();
    assert!(intake.begin(IntakePhase::Draining, false));
    assert!(intake.begin(IntakePhase::Closing, false));
    assert!(!intake.begin(IntakePhase::Closing, false));
    assert!(!intake.announces_close(IntakePhase::Closing));
    intake.finish(Instant::now());
    assert!(intake.announces_close(IntakePhase::Closing));
}
