//! Latency is measured from the planned arrival.

mod support;

use std::time::Duration;

use apricotfold_load::{CallRecord, LoadClient, LoadPhase, plan_calls};
use apricotfold_model::LoadConfig;

const STALL: Duration = Duration::from_millis(400);
const LOAD_TIME: Duration = Duration::from_secs(1);

async fn run_stalled() -> eyre::Result<Vec<CallRecord>> {
    let address = support::serve(|_| Some(support::RAN)).await?;
    let client = LoadClient::new(&LoadConfig {
        urls: vec![format!("http://{address}").into()],
        calls_per_second: 100,
        duration: LOAD_TIME,
        timeout: Duration::from_secs(10),
        long_percent: 0,
        short_path: "/".into(),
        long_path: "/".into(),
        seed: 5,
    })?;
    client.warm_up().await;
    let phase = LoadPhase {
        calls_per_second: 100,
        duration: LOAD_TIME,
    };
    let load = tokio::spawn(async move { client.run(plan_calls(&[phase], 0, 5)).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    // The runtime has one thread, so this stalls both the client and the server.
    std::thread::sleep(STALL);
    Ok(load.await?)
}

/// Guards against latency that is measured from the time of sending: calls that are sent late
/// because of a stall would look fast.
#[tokio::test]
async fn stalled_calls() -> eyre::Result<()> {
    let records = run_stalled().await?;
    let slow = records.iter().filter(|call| call.latency > STALL / 4);
    let slow = slow.count();
    assert!(slow >= 20, "only {slow} of {} calls waited", records.len());
    let longest = records.iter().map(|call| call.latency).max();
    assert!(longest >= Some(STALL * 8 / 10), "{longest:?}");
    Ok(())
}

/// Guards against delays of the generator that do not appear in the result.
#[tokio::test]
async fn send_lag() -> eyre::Result<()> {
    let records = run_stalled().await?;
    let longest = records.iter().map(|call| call.send_lag).max();
    assert!(longest >= Some(STALL * 8 / 10), "{longest:?}");
    Ok(())
}
