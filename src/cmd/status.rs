//! `apricotfold status`

use std::time::Duration;

use apricotfold::{CommandError, ExitKind, FleetReport, StatusResponse, jitter_delay};
use apricotfold_model::{HeadEntry, keys};
use compact_str::CompactString;
use futures_util::future::join_all;
use rand::rngs::StdRng;
use serde::Serialize;
use serde_json::json;
use tokio::time::Instant;

use super::output::CommandReport;
use super::show::list_entries;
use super::{CommandResult, Invocation, open_store, step_error, store_retry};

/// Timeout of the status request to one node.
const NODE_TIMEOUT: Duration = Duration::from_secs(3);

/// A node that did not return its status.
#[derive(Serialize)]
struct NodeFailure {
    url: CompactString,
    error: String,
}

/// Queries the given nodes and reports which node runs which version.
pub async fn run(invocation: &Invocation) -> CommandResult {
    if invocation.nodes.is_empty() {
        return Err(CommandError::bad_input("no node given: use --node URL"));
    }
    let client = reqwest::Client::builder()
        .timeout(NODE_TIMEOUT)
        .no_proxy()
        .build()
        .map_err(|error| step_error("node client", &error))?;
    let (mut answers, mut failures) = query_until_answered(&client, invocation).await?;
    // Versions are only known within a data centre, so one node of each other data centre is
    // queried.
    let unqueried_nodes = FleetReport::new(&answers, &[]).unqueried_nodes();
    let (further, failed) = query_nodes(&client, &unqueried_nodes).await;
    answers.extend(further);
    failures.extend(failed);
    let store = read_heads(invocation).await;
    let heads: &[HeadEntry] = match &store {
        Some(Ok(heads)) => heads,
        _ => &[],
    };
    let report = FleetReport::new(&answers, heads);
    let mut lines: Vec<String> = report.members.iter().map(ToString::to_string).collect();
    lines.extend(report.heads.iter().map(ToString::to_string));
    lines.extend(failures.iter().map(NodeFailure::line));
    let mut document = json!(report);
    document["not_asked"] = json!(failures);
    if let Some(Err(error)) = &store {
        lines.push(format!("versions not compared with the store: {error}"));
        document["store_error"] = error.message.clone().into();
    }
    let exit = report.exit_kind();
    Ok(CommandReport::with_exit(exit, lines.join("\n"), document))
}

impl NodeFailure {
    fn line(&self) -> String {
        format!("no status from {}: {}", self.url, self.error)
    }
}

/// Reads the heads in the store; `None` when no store was given. An unavailable store must not hide
/// the nodes' status, so its error is part of the report.
async fn read_heads(invocation: &Invocation) -> Option<Result<Vec<HeadEntry>, CommandError>> {
    if invocation.store.is_empty() {
        return None;
    }
    let store = match open_store(invocation) {
        Ok(store) => store,
        Err(error) => return Some(Err(error)),
    };
    let mut retry = store_retry(&store, invocation);
    Some(list_entries(&mut retry, keys::HEADS).await)
}

/// Queries all given nodes and retries until one responds or the time given with `--wait` has
/// passed.
async fn query_until_answered(
    client: &reqwest::Client,
    invocation: &Invocation,
) -> Result<(Vec<StatusResponse>, Vec<NodeFailure>), CommandError> {
    let mut generator: StdRng = rand::make_rng();
    let deadline = Instant::now() + invocation.wait;
    let mut rounds = 0;
    loop {
        let (answers, failures) = query_nodes(client, &invocation.nodes).await;
        if !answers.is_empty() {
            return Ok((answers, failures));
        }
        if Instant::now() >= deadline {
            let lines: Vec<String> = failures.iter().map(NodeFailure::line).collect();
            let message = format!("no node responded\n{}", lines.join("\n"));
            return Err(CommandError::new(ExitKind::Unavailable, message));
        }
        rounds += 1;
        let delay = jitter_delay(&mut generator, rounds);
        let left = deadline.saturating_duration_since(Instant::now());
        tokio::time::sleep(delay.min(left)).await;
    }
}

async fn query_nodes(
    client: &reqwest::Client,
    urls: &[CompactString],
) -> (Vec<StatusResponse>, Vec<NodeFailure>) {
    let calls = urls.iter().map(|url| query_node(client, url));
    let mut answers = Vec::new();
    let mut failures = Vec::new();
    for (url, result) in urls.iter().zip(join_all(calls).await) {
        match result {
            Ok(answer) => answers.push(answer),
            Err(error) => failures.push(NodeFailure {
                url: url.clone(),
                error: format!("{error:#}"),
            }),
        }
    }
    (answers, failures)
}

async fn query_node(client: &reqwest::Client, url: &str) -> eyre::Result<StatusResponse> {
    let request = client.get(format!("{url}/v1/status"));
    let response = request.send().await?.error_for_status()?;
    let body = response.bytes().await?;
    Ok(serde_json::from_slice(&body)?)
}
