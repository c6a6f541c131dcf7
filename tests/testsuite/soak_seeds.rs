//! Short runs of the randomized soak. Longer ones are made with `apricotfold-soak`.

use std::time::Duration;

use apricotfold_testkit::SoakRun;

use crate::call_support::mesh_permit;

/// Time during which faults begin.
const LENGTH: Duration = Duration::from_secs(5);

async fn check_seed(seed: u64) -> eyre::Result<()> {
    let _permit = mesh_permit().await?;
    let run = SoakRun {
        seed,
        length: LENGTH,
    };
    let report = run.run().await?;
    assert!(report.violations.is_empty(), "{report:#?}");
    assert!(report.answered > 0, "{report:#?}");
    Ok(())
}

/// Guards against promises that hold for single faults and break when faults overlap.
#[tokio::test]
async fn short_run() -> eyre::Result<()> {
    check_seed(1).await?;
    check_seed(2).await
}
