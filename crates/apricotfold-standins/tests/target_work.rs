//! Request handling of the target.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;

use crate::support::{HttpEndpoint, start_target, wait_until};

/// Sends concurrent calls; returns their status and outcome header, and the total time.
async fn run_all(
    target: &HttpEndpoint,
    path: &str,
    count: usize,
) -> (Vec<(u16, String)>, Duration) {
    let start = Instant::now();
    let calls: Vec<_> = (0..count)
        .map(|_| tokio::spawn(target.client.get(target.url(path)).send()))
        .collect();
    let mut responses = Vec::new();
    for call in calls {
        let response = call.await.expect("a task").expect("a response");
        let outcome = response.headers().get("apricotfold-outcome");
        let outcome = outcome.map_or("", |value| value.to_str().expect("text"));
        responses.push((response.status().as_u16(), outcome.to_owned()));
    }
    (responses, start.elapsed())
}

/// Guards against a target that runs any number of requests concurrently and so is never overloaded.
#[tokio::test]
async fn slots_limit_concurrent_requests() {
    let target = start_target(json!({"slots": 2})).await;
    let (responses, time) = run_all(&target, "/work?ms=200", 6).await;
    assert!(responses.iter().all(|(status, _)| *status == 200));
    let expected = Duration::from_millis(600)..Duration::from_millis(900);
    assert!(expected.contains(&time), "{time:?}");
}

/// Guards against a shed request that was run, and against shedding that starts below the limit or
/// beyond it.
#[tokio::test]
async fn work_above_limit_is_shed() {
    let target = start_target(json!({"slots": 1, "shed_above": 2})).await;
    let (mut responses, _) = run_all(&target, "/work?ms=200", 5).await;
    responses.sort();
    let shed = (503, "not-run".to_owned());
    assert_eq!(responses[2..], [shed.clone(), shed.clone(), shed]);
    assert_eq!(responses[1].0, 200);
    let journal = target.json("/admin/journal").await;
    assert_eq!(journal["records"].as_array().map(Vec::len), Some(2));
}

/// Guards against service times that ignore the class, the cold start or the slow factor.
#[tokio::test]
async fn service_times_follow_settings() {
    let settings = json!({"short_ms": 40, "long_ms": 200, "cold_start_ms": 1000, "cold_factor": 3});
    let target = start_target(settings).await;
    let timed = async |path: &str, class: &str| {
        let start = Instant::now();
        let call = target.client.get(target.url(path));
        let response = call.header("apricotfold-class", class).send().await;
        assert_eq!(response.expect("a response").status(), 200);
        start.elapsed().as_millis()
    };
    let cold = timed("/almanac", "short").await;
    assert!((120..200).contains(&cold), "{cold} ms");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let short = timed("/almanac", "short").await;
    assert!((40..120).contains(&short), "{short} ms");
    let by_path = timed("/long/almanac", "short").await;
    let by_header = timed("/almanac", "long").await;
    assert!((200..300).contains(&by_path), "{by_path} ms");
    assert!((200..300).contains(&by_header), "{by_header} ms");
    target.post_ok("/admin/slow", json!({"factor": 5})).await;
    let slow = timed("/almanac", "short").await;
    assert!((200..300).contains(&slow), "{slow} ms");
}

/// Guards against work that continues after its deadline, and against an incorrect outcome: only a
/// request that never started may be reported as not run.
#[tokio::test]
async fn deadline_stops_work() {
    let target = start_target(json!({"slots": 1})).await;
    let call = async |deadline_ms: u32| {
        let call = target.client.get(target.url("/work?ms=600"));
        let call = call.header("apricotfold-deadline-ms", deadline_ms);
        let response = call.send().await.expect("a response");
        let outcome = response.headers()["apricotfold-outcome"].clone();
        (response.status().as_u16(), outcome)
    };
    let start = Instant::now();
    let (running, waiting) = tokio::join!(call(300), async {
        wait_until("the first call runs", async || {
            target.json("/admin/status").await["free_slots"] == 0
        })
        .await;
        call(50).await
    });
    assert_eq!(running, (504, "may-have-run".parse().expect("a value")));
    assert_eq!(waiting, (504, "not-run".parse().expect("a value")));
    assert!(
        start.elapsed() < Duration::from_millis(550),
        "the deadline was not enforced"
    );
    let journal = target.json("/admin/journal").await;
    assert_eq!(journal["records"].as_array().map(Vec::len), Some(1));
    assert_eq!(journal["records"][0]["end"], "cancelled");
}

/// Guards against responses that do not identify the target, or whose completeness cannot be checked.
#[tokio::test]
async fn responses_identify_target_and_content() {
    use sha2::Digest as _;
    let target = start_target(json!({})).await;
    let echo = target.client.post(target.url("/echo")).body("almanac");
    let echo = echo.send().await.expect("a response");
    assert_eq!(echo.text().await.expect("text"), "almanac");
    let text = target.get("/lot/prices").await;
    assert_eq!(text, format!("precios@{} /lot/prices\n", target.address));

    let start = Instant::now();
    let download = target
        .client
        .get(target.url("/download?bytes=300001&ms=300"));
    let download = download.send().await.expect("a response");
    let body = download.bytes().await.expect("a body");
    let time = start.elapsed();
    assert!((300..500).contains(&time.as_millis()), "{time:?}");
    let (content, trailer) = body.split_at(300_001);
    let digest = hex::encode(sha2::Sha256::digest(content));
    assert_eq!(trailer, format!("\nsha256:{digest}\n").as_bytes());
}

/// Guards against a target that serves more connections than it announces.
#[tokio::test]
async fn connections_are_limited() {
    let target = start_target(json!({"connections": 1})).await;
    let held = TcpStream::connect(target.address).await.expect("connected");
    let mut second = TcpStream::connect(target.address).await.expect("queued");
    let request = b"GET /x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut second, request)
        .await
        .expect("written");
    let mut response = String::new();
    let wait = Duration::from_millis(300);
    let early = tokio::time::timeout(wait, second.read_to_string(&mut response)).await;
    assert!(early.is_err(), "{response}");
    drop(held);
    second
        .read_to_string(&mut response)
        .await
        .expect("a response");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}
