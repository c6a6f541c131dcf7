//! One direction of a connection: reads data, queues it as the faults require and writes it.

use std::io;
use std::net::IpAddr;
use std::sync::Arc;

use apricotfold_model::LinkImpairment;
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};

use super::schedule::{ChunkTiming, HalfOpenCounter};
use super::state::{Direction, LinkRules, LinkState};
use crate::timer::wait_until;

/// Maximum size of a chunk, which is queued and delivered as a unit.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum size of a chunk if the bandwidth is limited. At 30 Mbit/s its transmission takes one
/// millisecond, so that connections share the bandwidth evenly.
const LIMITED_CHUNK_BYTES: usize = 4 * 1024;
/// Maximum number of chunks that one direction of a connection queues before it stops reading. 256
/// chunks let a connection use 30 Mbit/s at a delay of 250 ms.
const MAX_QUEUED_CHUNKS: usize = 256;

enum Chunk {
    Data(Bytes),
    End,
    Failed(io::Error),
}

/// A chunk with its delivery time. The queue preserves the order of a connection's data: a chunk that
/// arrives before its predecessor waits for it.
struct QueuedChunk {
    timing: ChunkTiming,
    chunk: Chunk,
}

/// Forwards one direction of a connection.
pub struct Forwarder {
    state: Arc<LinkState>,
    rules: watch::Receiver<LinkRules>,
    direction: Direction,
    client: IpAddr,
}

impl Forwarder {
    /// Creates the forwarder of a connection from `client`.
    #[must_use]
    pub fn new(state: &Arc<LinkState>, direction: Direction, client: IpAddr) -> Self {
        Self {
            state: Arc::clone(state),
            rules: state.rules(),
            direction,
            client,
        }
    }

    /// Forwards data up to and including the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if either side fails, or if a half-open connection is ended.
    pub async fn run(self, source: ReadHalf<'_>, sink: WriteHalf<'_>) -> io::Result<()> {
        let (queued, queued_chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let reading = async {
            self.read(source, queued).await;
            Ok(())
        };
        let writing = self.write(queued_chunks, sink);
        tokio::try_join!(reading, writing).map(|_| ())
    }

    async fn read(&self, mut source: ReadHalf<'_>, queued: mpsc::Sender<QueuedChunk>) {
        let mut counter = HalfOpenCounter::default();
        loop {
            let chunk = read_chunk(&mut source, self.chunk_bytes()).await;
            let (chunk, lost) = self.split_half_open(&mut counter, chunk);
            let is_last = matches!(chunk, Chunk::End | Chunk::Failed(_));
            let timing = self.transmit(&chunk).await;
            let chunk = QueuedChunk { timing, chunk };
            if queued.send(chunk).await.is_err() || is_last {
                return;
            }
            if let Some(lost) = lost {
                return self.discard_while_half_open(lost, source, queued).await;
            }
        }
    }

    fn chunk_bytes(&self) -> usize {
        match self
            .rules
            .borrow()
            .for_client(self.direction, self.client)
            .bandwidth
        {
            Some(_) => LIMITED_CHUNK_BYTES,
            None => CHUNK_BYTES,
        }
    }

    /// Splits a chunk into the part to forward and the part that is lost if the connection becomes
    /// half-open.
    fn split_half_open(
        &self,
        counter: &mut HalfOpenCounter,
        chunk: Chunk,
    ) -> (Chunk, Option<Chunk>) {
        let rules = self.rules.borrow();
        let impairment = rules.for_client(self.direction, self.client);
        match chunk {
            Chunk::Data(mut data) => {
                let lost = data.split_off(counter.pass(impairment, data.len()));
                let lost = (!lost.is_empty()).then_some(Chunk::Data(lost));
                (Chunk::Data(data), lost)
            }
            Chunk::End if counter.is_half_open(impairment) => {
                (Chunk::Data(Bytes::new()), Some(Chunk::End))
            }
            Chunk::End | Chunk::Failed(_) => (chunk, None),
        }
    }

    /// Discards everything until the fault is removed, then fails the connection, because it cannot
    /// continue after the loss of bytes.
    async fn discard_while_half_open(
        &self,
        mut lost: Chunk,
        mut source: ReadHalf<'_>,
        queued: mpsc::Sender<QueuedChunk>,
    ) {
        let dropping = async {
            while let Chunk::Data(data) = &lost {
                self.state.count_dropped(self.direction, data.len());
                lost = read_chunk(&mut source, CHUNK_BYTES).await;
            }
            match lost {
                Chunk::Failed(error) => error,
                Chunk::Data(_) | Chunk::End => std::future::pending().await,
            }
        };
        let error = tokio::select! {
            error = dropping => error,
            () = self.wait_for(|impairment| impairment.half_open_after.is_none()) => {
                io::Error::new(io::ErrorKind::ConnectionAborted, "half-open connection")
            }
        };
        let chunk = Chunk::Failed(error);
        let timing = self.transmit(&chunk).await;
        let failed = QueuedChunk { timing, chunk };
        // If the writing half has already ended, there is nothing left to fail.
        let _ = queued.send(failed).await;
    }

    /// Waits until the chunk is transmitted. A change of the bandwidth schedules it again.
    async fn transmit(&self, chunk: &Chunk) -> ChunkTiming {
        let bytes = match chunk {
            Chunk::Data(data) => data.len(),
            Chunk::End | Chunk::Failed(_) => 0,
        };
        loop {
            let impairment = self
                .rules
                .borrow()
                .for_client(self.direction, self.client)
                .clone();
            let timing = self.state.transmit(self.direction, &impairment, bytes);
            tokio::select! {
                () = wait_until(timing.transmitted) => return timing,
                () = self.wait_for(|new| new.bandwidth != impairment.bandwidth) => {}
            }
        }
    }

    /// Waits until the chunk arrives. Changes of the faults also apply to chunks in transit.
    async fn wait_for_arrival(&self, timing: ChunkTiming) {
        loop {
            let arrival =
                timing.arrival(self.rules.borrow().for_client(self.direction, self.client));
            tokio::select! {
                () = wait_until(arrival) => return,
                () = self.wait_for(|impairment| timing.arrival(impairment) != arrival) => {}
            }
        }
    }

    async fn write(
        &self,
        mut queued_chunks: mpsc::Receiver<QueuedChunk>,
        mut sink: WriteHalf<'_>,
    ) -> io::Result<()> {
        let mut first = true;
        while let Some(queued) = queued_chunks.recv().await {
            self.wait_for_arrival(queued.timing).await;
            self.wait_for(|impairment| !impairment.stall).await;
            match queued.chunk {
                Chunk::Data(data) if data.is_empty() => {}
                Chunk::Data(data) => {
                    sink.write_all(&data).await?;
                    self.state
                        .count_delivered(self.direction, data.len(), first);
                    first = false;
                }
                Chunk::End => sink.shutdown().await?,
                Chunk::Failed(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Waits until the active impairment of this direction satisfies a condition.
    async fn wait_for(&self, condition: impl Fn(&LinkImpairment) -> bool) {
        let mut rules = self.rules.clone();
        // This forwarder holds the shared state, which owns the sender, so this cannot fail.
        let _ = rules
            .wait_for(|rules| condition(rules.for_client(self.direction, self.client)))
            .await;
    }
}

async fn read_chunk(source: &mut ReadHalf<'_>, limit: usize) -> Chunk {
    let mut buffer = BytesMut::with_capacity(limit);
    match source.read_buf(&mut buffer).await {
        Ok(0) => Chunk::End,
        Ok(_) => Chunk::Data(buffer.freeze()),
        Err(error) => Chunk::Failed(error),
    }
}
