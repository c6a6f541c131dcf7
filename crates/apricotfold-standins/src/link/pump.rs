//! One direction of one connection: reads data, holds it as the faults say and writes it.

use std::io;
use std::net::IpAddr;
use std::sync::Arc;

use apricotfold_model::LinkImpairment;
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};

use super::schedule::{HalfOpenCounter, PieceTransit};
use super::state::{Direction, LinkRules, LinkState};
use crate::timer::wait_until;

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

/// A piece that is held. Pieces of a connection stand in a queue, so that one that arrives earlier than
/// its predecessor waits for it.
struct HeldPiece {
    transit: PieceTransit,
    piece: Piece,
}

/// One direction of one connection.
pub struct DataPump {
    state: Arc<LinkState>,
    rules: watch::Receiver<LinkRules>,
    direction: Direction,
    client: IpAddr,
}

impl DataPump {
    /// Prepares a pump.
    #[must_use]
    pub fn new(state: &Arc<LinkState>, direction: Direction, client: IpAddr) -> Self {
        Self {
            state: Arc::clone(state),
            rules: state.rules(),
            direction,
            client,
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
        loop {
            let piece = read_piece(&mut source, self.piece_bytes()).await;
            let (piece, lost) = self.split_half_open(&mut counter, piece);
            let ends = matches!(piece, Piece::End | Piece::Broken(_));
            let transit = self.transmit(&piece).await;
            let piece = HeldPiece { transit, piece };
            if held.send(piece).await.is_err() || ends {
                return;
            }
            if let Some(lost) = lost {
                return self.stay_half_open(lost, source, held).await;
            }
        }
    }

    fn piece_bytes(&self) -> usize {
        match self
            .rules
            .borrow()
            .of(self.direction, self.client)
            .bandwidth
        {
            Some(_) => LIMITED_PIECE_BYTES,
            None => PIECE_BYTES,
        }
    }

    /// Splits a piece into what still passes and what is lost, if the connection is half-open now.
    fn split_half_open(
        &self,
        counter: &mut HalfOpenCounter,
        piece: Piece,
    ) -> (Piece, Option<Piece>) {
        let rules = self.rules.borrow();
        let rule = rules.of(self.direction, self.client);
        match piece {
            Piece::Data(mut data) => {
                let lost = data.split_off(counter.pass(rule, data.len()));
                let lost = (!lost.is_empty()).then_some(Piece::Data(lost));
                (Piece::Data(data), lost)
            }
            Piece::End if counter.is_half_open(rule) => {
                (Piece::Data(Bytes::new()), Some(Piece::End))
            }
            Piece::End | Piece::Broken(_) => (piece, None),
        }
    }

    /// Drops everything until the fault is taken back. The connection then breaks, because it has
    /// lost bytes and cannot go on.
    async fn stay_half_open(
        &self,
        mut lost: Piece,
        mut source: ReadHalf<'_>,
        held: mpsc::Sender<HeldPiece>,
    ) {
        let dropping = async {
            while let Piece::Data(data) = &lost {
                self.state.count_dropped(self.direction, data.len());
                lost = read_piece(&mut source, PIECE_BYTES).await;
            }
            match lost {
                Piece::Broken(error) => error,
                Piece::Data(_) | Piece::End => std::future::pending().await,
            }
        };
        let error = tokio::select! {
            error = dropping => error,
            () = self.wait_for(|rule| rule.half_open_after.is_none()) => {
                io::Error::new(io::ErrorKind::ConnectionAborted, "half-open connection")
            }
        };
        let piece = Piece::Broken(error);
        let transit = self.transmit(&piece).await;
        let broken = HeldPiece { transit, piece };
        // The writing half may have ended before; then there is nothing to break.
        let _ = held.send(broken).await;
    }

    /// Waits until the piece is on the line. A change of the bandwidth puts it on the line anew.
    async fn transmit(&self, piece: &Piece) -> PieceTransit {
        let bytes = match piece {
            Piece::Data(data) => data.len(),
            Piece::End | Piece::Broken(_) => 0,
        };
        loop {
            let rule = self.rules.borrow().of(self.direction, self.client).clone();
            let transit = self.state.transmit(self.direction, &rule, bytes);
            tokio::select! {
                () = wait_until(transit.transmitted) => return transit,
                () = self.wait_for(|new| new.bandwidth != rule.bandwidth) => {}
            }
        }
    }

    /// Waits until the piece arrives. Changes of faults hold for pieces on their way, too.
    async fn wait_for_arrival(&self, transit: PieceTransit) {
        loop {
            let arrives = transit.arrives(self.rules.borrow().of(self.direction, self.client));
            tokio::select! {
                () = wait_until(arrives) => return,
                () = self.wait_for(|rule| transit.arrives(rule) != arrives) => {}
            }
        }
    }

    async fn write(
        &self,
        mut arriving: mpsc::Receiver<HeldPiece>,
        mut sink: WriteHalf<'_>,
    ) -> io::Result<()> {
        let mut first = true;
        while let Some(held) = arriving.recv().await {
            self.wait_for_arrival(held.transit).await;
            self.wait_for(|rule| !rule.stall).await;
            match held.piece {
                Piece::Data(data) if data.is_empty() => {}
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

    /// Waits until the faults of this direction satisfy a condition.
    async fn wait_for(&self, condition: impl Fn(&LinkImpairment) -> bool) {
        let mut rules = self.rules.clone();
        // The sender lives in the shared state that this pump holds, so this cannot fail.
        let _ = rules
            .wait_for(|rules| condition(rules.of(self.direction, self.client)))
            .await;
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
