//! One direction of one connection: reads data, holds it as the faults say and writes it.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};

use super::schedule::HalfOpenCounter;
use super::state::{Direction, LinkRules, LinkState};

/// Largest piece of data that is held and delivered as one.
const PIECE_BYTES: usize = 16 * 1024;
/// Largest piece when bandwidth is limited. At 30 Mbit/s it occupies the line for one millisecond,
/// so that connections share the line evenly.
const LIMITED_PIECE_BYTES: usize = 4 * 1024;
/// Pieces that one direction of a connection holds before it stops reading. 256 pieces let a
/// connection use 30 Mbit/s over 250 ms.
const HELD_PIECES: usize = 256;

enum Piece {
    Data(Bytes),
    End,
    Broken(io::Error),
}

struct HeldPiece {
    arrives: Instant,
    piece: Piece,
}

/// One direction of one connection.
pub struct DataPump {
    state: Arc<LinkState>,
    rules: watch::Receiver<LinkRules>,
    direction: Direction,
}

impl DataPump {
    /// Prepares a pump.
    #[must_use]
    pub fn new(state: &Arc<LinkState>, direction: Direction) -> Self {
        Self {
            state: Arc::clone(state),
            rules: state.rules(),
            direction,
        }
    }

    /// Forwards data until its end, which is forwarded, too.
    ///
    /// # Errors
    ///
    /// Returns an error if either side breaks the connection.
    pub async fn run(self, source: ReadHalf<'_>, sink: WriteHalf<'_>) -> io::Result<()> {
        let (held, arriving) = mpsc::channel(HELD_PIECES);
        let reading = async {
            self.read(source, held).await;
            Ok(())
        };
        let writing = self.write(arriving, sink);
        tokio::try_join!(reading, writing).map(|_| ())
    }

    async fn read(&self, mut source: ReadHalf<'_>, held: mpsc::Sender<HeldPiece>) {
        let mut counter = HalfOpenCounter::default();
        let mut last_arrival = Instant::now();
        loop {
            let piece = read_piece(&mut source, self.piece_bytes()).await;
            let Some(piece) = self.drop_half_open(&mut counter, piece) else {
                continue;
            };
            if matches!(piece, Piece::End) && self.is_half_open(&counter) {
                return;
            }
            let ends = !matches!(piece, Piece::Data(_));
            last_arrival = self.transmit(&piece).await.max(last_arrival);
            let piece = HeldPiece {
                arrives: last_arrival,
                piece,
            };
            if held.send(piece).await.is_err() || ends {
                return;
            }
        }
    }

    fn piece_bytes(&self) -> usize {
        match self.rules.borrow().of(self.direction).bandwidth {
            Some(_) => LIMITED_PIECE_BYTES,
            None => PIECE_BYTES,
        }
    }

    /// Cuts a piece to what still passes; `None` if nothing of it does.
    fn drop_half_open(&self, counter: &mut HalfOpenCounter, piece: Piece) -> Option<Piece> {
        let Piece::Data(mut data) = piece else {
            return Some(piece);
        };
        let passing = counter.pass(self.rules.borrow().of(self.direction), data.len());
        let dropped = data.len() - passing;
        if dropped > 0 {
            self.state.count_dropped(self.direction, dropped);
        }
        data.truncate(passing);
        (!data.is_empty()).then_some(Piece::Data(data))
    }

    fn is_half_open(&self, counter: &HalfOpenCounter) -> bool {
        counter.is_half_open(self.rules.borrow().of(self.direction))
    }

    /// Waits until the piece is on the line and returns when it arrives.
    async fn transmit(&self, piece: &Piece) -> Instant {
        let bytes = match piece {
            Piece::Data(data) => data.len(),
            Piece::End | Piece::Broken(_) => 0,
        };
        let times = {
            let rules = self.rules.borrow();
            self.state
                .transmit(self.direction, rules.of(self.direction), bytes)
        };
        tokio::time::sleep_until(times.transmitted.into()).await;
        times.arrives
    }

    async fn write(
        &self,
        mut arriving: mpsc::Receiver<HeldPiece>,
        mut sink: WriteHalf<'_>,
    ) -> io::Result<()> {
        let mut first = true;
        while let Some(held) = arriving.recv().await {
            tokio::time::sleep_until(held.arrives.into()).await;
            self.wait_for_stall().await;
            match held.piece {
                Piece::Data(data) => {
                    sink.write_all(&data).await?;
                    self.state
                        .count_delivered(self.direction, data.len(), first);
                    first = false;
                }
                Piece::End => sink.shutdown().await?,
                Piece::Broken(error) => return Err(error),
            }
        }
        Ok(())
    }

    async fn wait_for_stall(&self) {
        let mut rules = self.rules.clone();
        let flowing = rules.wait_for(|rules| !rules.of(self.direction).stall);
        // The sender lives in the shared state that this pump holds, so this cannot fail.
        let _ = flowing.await;
    }
}

async fn read_piece(source: &mut ReadHalf<'_>, limit: usize) -> Piece {
    let mut buffer = BytesMut::with_capacity(limit);
    match source.read_buf(&mut buffer).await {
        Ok(0) => Piece::End,
        Ok(_) => Piece::Data(buffer.freeze()),
        Err(error) => Piece::Broken(error),
    }
}
