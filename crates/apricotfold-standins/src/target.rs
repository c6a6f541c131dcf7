//! Target stand-in: a service with slots, service times and faults, which announces itself to its
//! node and keeps a journal of what it ran.
//!
//! * `/echo` answers the body of the request.
//! * `/work?ms=M` takes M ms.
//! * `/download?bytes=N&ms=M` streams N bytes over M ms, then a line `sha256:` with their checksum.
//! * Any other path takes the service time of its class and answers the target's name and the path.
//!   Paths below `/long` and requests with the header `apricotfold-class: long` are long work.
//! * The header `x-crash: 1` ends the process abruptly while it runs the request.
//!
//! Admin endpoints, on the same address and within the same limit of connections:
//!
//! * `GET /admin/journal`: requests that started, and how they ended.
//! * `GET /admin/status`: requests in flight, free slots and what was changed at run time.
//! * `POST /admin/slow` with `{"factor": N}`: service times from now on.
//! * `POST /admin/pause-reports` with `{"paused": true}`: no announcements until it is taken back.

mod admin;
mod announcer;
mod download;
mod journal;
mod load_history;
mod runtime;
mod server;
mod service_time;
mod work;

pub use server::TargetServer;
