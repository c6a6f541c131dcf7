//! Two operators publish the same profile concurrently.

use serde_json::json;

use crate::support::{CONVERGENCE_LIMIT, almanac, calendar_mesh};

/// Guards against a lost update: exactly one of two concurrent publishes wins, and the other
/// reports the winner and the differences.
#[tokio::test]
async fn single_winner() -> eyre::Result<()> {
    let mesh = calendar_mesh(|builder| builder).await?;
    let (first, mut second) = (almanac(), almanac());
    second["routes"][3]["timeout_ms"] = json!(1234);
    let (first, second) = tokio::join!(mesh.publish(&first, &[]), mesh.publish(&second, &[]));
    let (first, second) = (first?, second?);
    let mut codes = [first.code, second.code];
    codes.sort_unstable();
    assert_eq!(codes, [0, 4], "{first:?} {second:?}");
    let loser = if first.code == 4 { &first } else { &second };
    assert!(
        loser.stdout.contains("testsuite"),
        "names the winner: {loser:?}"
    );
    assert!(
        loser.stdout.contains("timeout_ms"),
        "shows the difference: {loser:?}"
    );
    mesh.wait_version(1, CONVERGENCE_LIMIT).await?;
    Ok(())
}
