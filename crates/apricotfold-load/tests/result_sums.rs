//! Counters of a load's result.

mod support;

use std::time::Duration;

use apricotfold_load::{LoadResult, run_load};
use apricotfold_model::LoadConfig;

const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\napricotfold-outcome: not-run\r\n\
     apricotfold-reason: queue-full\r\ncontent-length: 0\r\n\r\n";

/// Answers all short calls. Of the long calls, answers those below `/a`, closes the connection of
/// those below `/b` and refuses those below `/c`.
fn response_for(path: &str) -> Option<&'static str> {
    match path {
        "/b/long" => None,
        "/c/long" => Some(REFUSED),
        _ => Some(support::RAN),
    }
}

async fn run_mixed() -> eyre::Result<LoadResult> {
    let address = support::serve(response_for).await?;
    let url = |entry: &str| format!("http://{address}/{entry}").into();
    let config = LoadConfig {
        urls: vec![url("a"), url("b"), url("c")],
        calls_per_second: 400,
        duration: Duration::from_secs(1),
        timeout: Duration::from_secs(10),
        long_percent: 50,
        short_path: "/short".into(),
        long_path: "/long".into(),
        seed: 3,
    };
    run_load(&config).await
}

/// Guards against calls that are counted twice or not at all.
#[tokio::test]
async fn every_call() -> eyre::Result<()> {
    let result = run_mixed().await?;
    assert!(result.refused > 0 && result.failed > 0, "{result:?}");
    let ends = result.answered + result.refused + result.failed;
    assert_eq!(ends, result.offered, "{result:?}");
    assert_eq!(result.by_outcome.values().sum::<u64>(), result.offered);
    assert_eq!(result.by_outcome["not-run"], result.refused);
    assert_eq!(result.refused_by_reason["queue-full"], result.refused);
    assert_eq!(result.failed_by_kind["answer-lost"], result.failed);
    Ok(())
}

/// Guards against goodput and latencies that include refused or failed calls.
#[tokio::test]
async fn answered_calls() -> eyre::Result<()> {
    let result = run_mixed().await?;
    let latencies = result.answered_latency.values().map(|class| class.count);
    assert_eq!(latencies.sum::<u64>(), result.answered);
    assert_eq!(result.refusal_latency.count, result.refused);
    assert_eq!(
        result.goodput_by_second.iter().sum::<u64>(),
        result.answered
    );
    let expected = f64::from(u32::try_from(result.answered)?);
    assert!((result.goodput_per_second - expected).abs() < 0.001);
    Ok(())
}
