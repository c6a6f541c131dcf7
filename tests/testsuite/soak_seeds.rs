//! Short runs of the randomised soak test. Longer ones are run with `apricotfold-soak`.

use std::time::Duration;

use apricotfold_testkit::SoakRun;

use crate::call_support::mesh_permit;

/// Time span in which faults are injected.
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

/// Guards against guarantees that hold for single faults but not for overlapping ones.
#[tokio::test]
async fn short_run() -> eyre::Result<()> {
    check_seed(1).await?;
    check_seed(2).await
}
