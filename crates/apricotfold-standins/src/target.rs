//! Target stand-in: a service with slots, service times and injected faults, which announces itself
//! to its node and keeps a journal of the requests that it ran.
//!
//! * `/echo` returns the request body.
//! * `/work?ms=M` takes M ms.
//! * `/download?bytes=N&ms=M` streams N bytes over M ms, then a line `sha256:` with their checksum.
//! * Any other path takes the service time of its class and returns the target's name and the path.
//!   Paths under `/long` and requests with the header `apricotfold-class: long` are of the long class.
//! * The header `x-crash: 1` aborts the process while it runs the request.
//!
//! Admin endpoints, on the same address and subject to the same connection limit:
//!
//! * `GET /admin/journal` returns the requests that started, and how they ended.
//! * `GET /admin/status` returns requests in flight, free slots and the settings changed at run time.
//! * `POST /admin/slow` with `{"factor": N}` multiplies the service times of later requests.
//! * `POST /admin/pause-reports` with `{"paused": true}` stops announcements until a request with
//!   `false`.

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
