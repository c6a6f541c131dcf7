//! Serves one caller's connection. Pipelined requests run concurrently, and responses are written
//! in the order of the requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{CallerLimits, log_event};
use bytes::BytesMut;
use http::{Method, Response, StatusCode};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::call_body::ResponseBody;
use crate::caller_server::{CallerHandler, EntryRefusal, PreparedCall};
use crate::callers::body_pieces::BodyPieces;
use crate::callers::connection_slots::ConnectionSlot;
use crate::callers::response_queue::{
    PendingEntry, PendingResponse, ResponseQueue, ResponseTask, intake_phase,
};
use crate::connection_pool::set_socket_options;
use crate::lifecycle::{Lifecycle, ProcessPhase};
use crate::request_codec::{BodyLength, BodyReader, RequestFault, RequestHead, take_head};
use crate::response_codec::{ResponseFraming, put_end, put_head, put_piece};

/// Requests of one connection that may be in progress at once; further requests stay unread.
const MAX_PIPELINED: usize = 32;

/// Size of a read from the connection, and of the response bytes collected before a write.
const READ_BYTES: usize = 8 * 1024;

/// Time after which a caller that acknowledges no data counts as disconnected.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which the socket is still read after the last response. Unread bytes on a closed socket
/// cause a reset, which can destroy the response on its way to the caller.
const LINGER: Duration = Duration::from_millis(500);

/// Longest time for which a caller may take no byte of its answers, as long as connections may be idle.
const WRITE_STALL: Duration = Duration::from_secs(15);

/// Interim response that lets a caller send its body.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Serves a connection until either side closes it.
pub async fn serve_caller(
    stream: TcpStream,
    handler: Arc<CallerHandler>,
    lifecycle: Lifecycle,
    slot: ConnectionSlot,
) {
    set_socket_options(&stream, TCP_USER_TIMEOUT);
    let (input, output) = stream.into_split();
    let queue = Arc::new(ResponseQueue::new(slot));
    let mut reader = CallerReader {
        input,
        buffer: BytesMut::new(),
        handler,
        lifecycle: lifecycle.clone(),
        queue: queue.clone(),
    };
    let mut writer = CallerWriter {
        output,
        handler: reader.handler.clone(),
        lifecycle,
        queue: queue.clone(),
    };
    let whole = tokio::select! {
        // If the caller disconnects, dropping the queue aborts the tasks of its requests.
        () = reader.read_requests() => return,
        () = queue.slot.replaced() => return,
        result = writer.write_responses() => result,
    };
    if let Err(error) = whole {
        log_event!(debug, ConnectionFailed, "{error}");
        return;
    }
    if writer.output.shutdown().await.is_ok() {
        let drained = reader.drain_input();
        // Bytes that still arrive belong to no accepted request and are discarded.
        let _ = tokio::time::timeout(LINGER, drained).await;
    }
}

struct CallerReader {
    input: OwnedReadHalf,
    buffer: BytesMut,
    handler: Arc<CallerHandler>,
    lifecycle: Lifecycle,
    queue: Arc<ResponseQueue>,
}

/// Why reading ends.
enum ReadEnd {
    /// The caller closed its side, or the connection failed.
    Disconnected,
    /// The request cannot be read; the connection is closed after the requests in progress.
    Refused(RequestFault),
    /// The caller sent the request's head too slowly.
    Late,
    /// No further request is taken: none arrived within the idle timeout, or the connection or the
    /// process is closing.
    Idle,
}

/// How reading a body ends.
enum BodyEnd {
    /// The body is complete.
    Whole(BodyPieces),
    /// It is incomplete at its deadline.
    Late,
    /// The node holds too much.
    GivenUp,
}

impl CallerReader {
    /// Reads requests until the caller disconnects. If the connection ends for another reason, it
    /// only watches for a disconnect while the last responses are written.
    async fn read_requests(&mut self) {
        let end = loop {
            self.queue.wait_below(MAX_PIPELINED - 1).await;
            if self.queue.is_ending() {
                break ReadEnd::Idle;
            }
            if let Err(end) = self.read_request().await {
                break end;
            }
        };
        match end {
            ReadEnd::Disconnected => return,
            ReadEnd::Refused(fault) => self.answer_fault(fault.status()),
            ReadEnd::Late => {
                log_event!(info, ConnectionFailed, "request head not received in time");
                self.answer_fault(StatusCode::REQUEST_TIMEOUT);
            }
            ReadEnd::Idle => self.queue.end(),
        }
        self.drain_input().await;
    }

    /// Reads until the caller closes its side.
    async fn drain_input(&mut self) {
        loop {
            self.buffer.clear();
            self.buffer.reserve(READ_BYTES);
            if !matches!(self.input.read_buf(&mut self.buffer).await, Ok(1..)) {
                return;
            }
        }
    }

    async fn read_request(&mut self) -> Result<(), ReadEnd> {
        let limits = self.handler.limits();
        let head = self.read_head(&limits).await?;
        let arrived = Instant::now();
        let method = head.parts.method.clone();
        let Some(request) = self.queue.begin(&self.lifecycle, head.last) else {
            // The caller sent it before it had read that the connection closes.
            return Err(ReadEnd::Idle);
        };
        let answer = match self.read_answer(head, &limits, arrived).await {
            Ok(answer) => answer,
            Err(ReadEnd::Refused(fault)) => {
                self.queue.end();
                fault_response(fault.status())
            }
            Err(end) => return Err(end),
        };
        request.push(method, answer);
        Ok(())
    }

    /// Reads the body of a request and starts it, or refuses it.
    async fn read_answer(
        &mut self,
        head: RequestHead,
        limits: &CallerLimits,
        arrived: Instant,
    ) -> Result<PendingResponse, ReadEnd> {
        let has_body = head.body != BodyLength::Known(0);
        let head_bytes = head.occupied;
        match self.handler.prepare(head.parts, arrived) {
            Ok(call) => {
                let body =
                    BodyReader::new(head.body, limits.body_bytes).map_err(ReadEnd::Refused)?;
                if head.expects_continue && has_body {
                    self.queue
                        .push_interim(PendingResponse::Continue, &self.lifecycle);
                }
                let read = self.read_body(body, head_bytes, call.deadline());
                let refusal = match read.await? {
                    BodyEnd::Whole(body) => return self.start(call, body),
                    BodyEnd::Late => self.handler.refuse_late(&call),
                    BodyEnd::GivenUp => self.handler.refuse_overfull(&call),
                };
                self.queue.end();
                Ok(PendingResponse::Ready(Box::new(refusal)))
            }
            Err(EntryRefusal(response)) => {
                // The body of a refused request is not read, so no request can follow it.
                if has_body {
                    self.queue.end();
                }
                Ok(PendingResponse::Ready(response))
            }
        }
    }

    /// Starts a request, unless another connection has replaced this one.
    fn start(&self, call: PreparedCall, body: BodyPieces) -> Result<PendingResponse, ReadEnd> {
        if !self.queue.slot.begin_request() {
            return Err(ReadEnd::Disconnected);
        }
        let handler = self.handler.clone();
        let task = tokio::spawn(async move { handler.run(call, body).await });
        Ok(PendingResponse::Running(ResponseTask(task)))
    }

    async fn read_head(&mut self, limits: &CallerLimits) -> Result<RequestHead, ReadEnd> {
        let started = Instant::now();
        let mut head_since = None;
        let mut phases = self.lifecycle.watch();
        loop {
            let head = take_head(&mut self.buffer, limits.header_bytes);
            if let Some(head) = head.map_err(ReadEnd::Refused)? {
                return Ok(head);
            }
            if !self.buffer.is_empty() {
                head_since.get_or_insert_with(Instant::now);
            }
            // What a caller sends from now on is not read, so it can be sent elsewhere.
            let closing = *phases.borrow() == ProcessPhase::Closing;
            if self.queue.is_ending() || (closing && head_since.is_none()) {
                return Err(ReadEnd::Idle);
            }
            let idle = head_since.is_none() && self.queue.is_idle();
            let idle_since = self.queue.idle_since().unwrap_or(started);
            let (due, end) = match head_since {
                Some(since) => (since + limits.header_time, ReadEnd::Late),
                None if idle => (idle_since + limits.idle_time, ReadEnd::Idle),
                None => (Instant::now() + limits.idle_time, ReadEnd::Idle),
            };
            tokio::select! {
                read = read_more(&mut self.input, &mut self.buffer) => read?,
                () = tokio::time::sleep_until(due.into()), if idle || head_since.is_some() => {
                    if head_since.is_some() || self.queue.is_idle() {
                        return Err(end);
                    }
                }
                () = self.queue.written.notified() => {}
                Ok(()) = phases.changed() => {}
            }
        }
    }

    /// Reads a body, until its deadline or until the node holds too much. Its memory is counted with
    /// that of the head.
    async fn read_body(
        &mut self,
        mut body: BodyReader,
        head_bytes: usize,
        deadline: Instant,
    ) -> Result<BodyEnd, ReadEnd> {
        let mut memory = self.handler.begin_body();
        loop {
            let whole = body.take(&mut self.buffer).map_err(ReadEnd::Refused)?;
            let occupied = whole.as_ref().map_or(body.occupied(), BodyPieces::occupied);
            if memory.hold(head_bytes + occupied).is_err() {
                return Ok(BodyEnd::GivenUp);
            }
            if let Some(whole) = whole {
                return Ok(BodyEnd::Whole(whole.counted(memory.pass_on())));
            }
            let more = read_more(&mut self.input, &mut self.buffer);
            tokio::select! {
                read = tokio::time::timeout_at(deadline.into(), more) => match read {
                    Ok(read) => read?,
                    Err(_) => return Ok(BodyEnd::Late),
                },
                () = memory.given_up() => return Ok(BodyEnd::GivenUp),
            }
        }
    }

    fn answer_fault(&self, status: StatusCode) {
        if let Some(request) = self.queue.begin(&self.lifecycle, true) {
            request.push(Method::GET, fault_response(status));
        }
    }
}

/// Returns the response to a request that cannot be read.
fn fault_response(status: StatusCode) -> PendingResponse {
    let mut response = Response::new(ResponseBody::empty());
    *response.status_mut() = status;
    PendingResponse::Ready(Box::new(response))
}

async fn read_more(input: &mut OwnedReadHalf, buffer: &mut BytesMut) -> Result<(), ReadEnd> {
    buffer.reserve(READ_BYTES);
    match input.read_buf(buffer).await {
        Ok(1..) => Ok(()),
        Ok(0) | Err(_) => Err(ReadEnd::Disconnected),
    }
}

struct CallerWriter {
    output: OwnedWriteHalf,
    handler: Arc<CallerHandler>,
    lifecycle: Lifecycle,
    queue: Arc<ResponseQueue>,
}

impl CallerWriter {
    /// Writes responses in order up to the last one of the connection.
    ///
    /// # Errors
    ///
    /// Returns why the connection must be closed without a further response.
    async fn write_responses(&mut self) -> eyre::Result<()> {
        loop {
            let Some(entry) = self.next_entry().await else {
                return Ok(());
            };
            let response = match entry.answer {
                PendingResponse::Ready(response) => *response,
                PendingResponse::Running(mut task) => (&mut task.0).await??,
                PendingResponse::Continue => {
                    self.send(CONTINUE_RESPONSE).await?;
                    self.queue.finish_one();
                    continue;
                }
            };
            let close = self.announces_close();
            self.write_response(response, &entry.method, close).await?;
            self.queue.finish_one();
            if close {
                return Ok(());
            }
        }
    }

    /// Sends bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller takes no byte for [`WRITE_STALL`].
    async fn send(&mut self, bytes: &[u8]) -> eyre::Result<()> {
        let mut left = bytes;
        while !left.is_empty() {
            match tokio::time::timeout(WRITE_STALL, self.output.write(left)).await {
                Ok(Ok(written @ 1..)) => left = &left[written..],
                Ok(Ok(_)) => eyre::bail!("the connection takes no bytes"),
                Ok(Err(error)) => return Err(error.into()),
                Err(_) => {
                    self.handler.record_write_stall();
                    eyre::bail!("the caller took no byte for {WRITE_STALL:?}");
                }
            }
        }
        Ok(())
    }

    async fn next_entry(&self) -> Option<PendingEntry> {
        loop {
            {
                let mut state = self.queue.lock();
                if let Some(entry) = state.pending.pop_front() {
                    return Some(entry);
                }
                if state.intake.is_ending() && state.intake.is_idle() {
                    return None;
                }
            }
            self.queue.arrived.notified().await;
        }
    }

    /// Returns whether the connection is closed after the response that is about to be written.
    fn announces_close(&self) -> bool {
        let phase = intake_phase(self.lifecycle.phase());
        self.queue.lock().intake.announces_close(phase)
    }

    async fn write_response(
        &mut self,
        response: Response<ResponseBody>,
        method: &Method,
        close: bool,
    ) -> eyre::Result<()> {
        let (parts, mut body) = response.into_parts();
        let length = body.size_hint().exact();
        let framing = ResponseFraming::choose(method, parts.status, length);
        let mut bytes = BytesMut::with_capacity(READ_BYTES);
        put_head(
            &mut bytes,
            parts.status,
            &parts.headers,
            framing,
            length,
            close,
        );
        if framing != ResponseFraming::NoBody {
            self.write_pieces(&mut body, framing, &mut bytes).await?;
        }
        put_end(&mut bytes, framing);
        self.send(&bytes).await?;
        Ok(())
    }

    /// Writes a body as it arrives. The last bytes stay in `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body or the connection breaks off. The connection is then dropped
    /// before the announced length or the last chunk, so that the caller sees the response as
    /// incomplete.
    async fn write_pieces(
        &mut self,
        body: &mut ResponseBody,
        framing: ResponseFraming,
        bytes: &mut BytesMut,
    ) -> eyre::Result<()> {
        while let Some(frame) = body.frame().await {
            if let Ok(piece) = frame?.into_data() {
                put_piece(bytes, framing, &piece);
            }
            if bytes.len() >= READ_BYTES {
                self.send(bytes).await?;
                bytes.clear();
            }
        }
        Ok(())
    }
}
