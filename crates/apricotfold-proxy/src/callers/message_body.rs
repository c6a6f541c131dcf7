//! Reads the bodies of peers' calls and messages, and of announcements.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;

use super::body_pieces::{BodyPieces, PieceCollector};
use super::held_memory::HeldMemory;

/// Why a body is not read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It is larger than allowed.
    TooLarge,
    /// It is incomplete at its deadline.
    Late,
    /// The node holds too much.
    MemoryExceeded,
    /// The connection ended first.
    Broken(String),
}

impl std::fmt::Display for BodyFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge => formatter.write_str("the body is too large"),
            Self::Late => formatter.write_str("the body is late"),
            Self::MemoryExceeded => formatter.write_str("the node holds too much"),
            Self::Broken(cause) => formatter.write_str(cause),
        }
    }
}

/// Reads a body of at most `max_bytes`, whose memory is counted until its last clone is dropped.
///
/// # Errors
///
/// Returns why the body was not read to its end. Its request has not run.
pub async fn collect_body<B>(
    mut body: B,
    memory: &Arc<HeldMemory>,
    max_bytes: u64,
    deadline: Instant,
) -> Result<BodyPieces, BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    if body.is_end_stream() {
        return Ok(BodyPieces::default());
    }
    if body.size_hint().lower() > max_bytes {
        return Err(BodyFault::TooLarge);
    }
    let expected = body.size_hint().exact();
    let expected = expected.and_then(|length| usize::try_from(length).ok());
    let mut memory = memory.begin();
    let mut pieces = PieceCollector::default();
    loop {
        let frame = tokio::select! {
            frame = tokio::time::timeout_at(deadline.into(), body.frame()) => frame,
            () = memory.given_up() => return Err(BodyFault::MemoryExceeded),
        };
        let Some(frame) = frame.map_err(|_| BodyFault::Late)? else {
            break;
        };
        let frame = frame.map_err(|error| BodyFault::Broken(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            if (pieces.len() + data.len()) as u64 > max_bytes {
                return Err(BodyFault::TooLarge);
            }
            let left = expected.map(|length| length.saturating_sub(pieces.len()));
            pieces.push(&data, left);
        }
        let held = memory.hold(pieces.occupied());
        held.map_err(|_| BodyFault::MemoryExceeded)?;
    }
    Ok(pieces.finish().counted(memory.pass_on()))
}
