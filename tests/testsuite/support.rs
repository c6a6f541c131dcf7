//! Shared parts of the tests: the profile that most of them publish, node locations and time
//! limits.

use std::time::Duration;

pub use apricotfold_testkit::applied_versions;
use apricotfold_testkit::{Mesh, MeshBuilder};
use serde_json::{Value, json};

/// Region and data centre of the nodes in the example deployment, a calendar publisher.
pub const POA_A: (&str, &str) = ("rs-gaucho", "poa-a");
pub const POA_B: (&str, &str) = ("rs-gaucho", "poa-b");
pub const FLN_A: (&str, &str) = ("sc-litoral", "fln-a");
pub const FLN_B: (&str, &str) = ("sc-litoral", "fln-b");

/// Maximum time until a change is in force on every node, as the requirements specify it.
pub const CONVERGENCE_LIMIT: Duration = Duration::from_secs(5);
/// Time limit for a mesh of a few processes to form. A limit of the tests, not a requirement on the
/// product.
pub const FORMATION_LIMIT: Duration = Duration::from_secs(20);

/// Starts one node of each of two services in each of two regions and waits until all know each
/// other.
pub async fn calendar_mesh(change: impl FnOnce(MeshBuilder) -> MeshBuilder) -> eyre::Result<Mesh> {
    let builder = MeshBuilder::new()
        .node(POA_A, "parish-desk", "almanac")
        .node(POA_B, "press-room", "almanac")
        .node(FLN_A, "parish-desk", "almanac")
        .node(FLN_B, "press-room", "almanac");
    let mesh = change(builder).start().await?;
    mesh.wait_members(4, FORMATION_LIMIT).await?;
    Ok(mesh)
}

/// Returns the profile that both services of [`calendar_mesh`] use.
pub fn almanac() -> Value {
    json!({
        "name": "almanac",
        "listeners": ["callers"],
        "secrets": ["mesh-token"],
        "clusters": [
            {"name": "desk", "service": "parish-desk"},
            {"name": "press", "service": "press-room", "secret": "mesh-token"}
        ],
        "routes": [
            {"name": "orders", "listener": "callers", "path_prefix": "/orders",
             "methods": ["POST"], "cluster": "press", "timeout_ms": 5000, "require_key": true},
            {"name": "proofs", "listener": "callers", "path_prefix": "/proofs",
             "cluster": "press", "class": "long", "timeout_ms": 30000, "idempotent": true},
            {"name": "press", "listener": "callers", "path_prefix": "/press",
             "cluster": "press", "timeout_ms": 5000},
            {"name": "pages", "listener": "callers", "path_prefix": "/",
             "cluster": "desk", "timeout_ms": 5000, "idempotent": true}
        ],
        "retries": {"max_attempts": 3, "budget_percent": 20}
    })
}
