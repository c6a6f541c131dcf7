//! Tests of the stand-ins, so that a failure of a test that uses them can be attributed to the code
//! under test.

mod link_faults;
mod program_start;
mod store_faults;
mod store_lease;
mod store_limits;
mod store_txn;
mod store_watch;
mod support;
mod target_announce;
mod target_journal;
mod target_work;
