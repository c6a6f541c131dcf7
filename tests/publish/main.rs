//! Tests of the publish logic against an in-memory store, with tokio's paused clock, so that waits
//! take no real time.

mod fake_store;
mod lost_answers;
mod races;
