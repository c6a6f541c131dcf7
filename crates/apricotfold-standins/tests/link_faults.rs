//! Faults injected by the link.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use crate::support::{HttpEndpoint, WAIT_TIMEOUT, start_link, wait_until};

/// Time within which data on loopback arrives if no fault holds it back.
const UNDELAYED_LIMIT: Duration = Duration::from_millis(300);

/// Starts an echo server and a link to it.
async fn start_echo_link(faults: Value) -> (SocketAddr, HttpEndpoint) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let upstream = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut source, mut sink) = stream.split();
                let _ = tokio::io::copy(&mut source, &mut sink).await;
                let _ = sink.shutdown().await;
            });
        }
    });
    start_link(upstream, faults).await
}

async fn set_faults(admin: &HttpEndpoint, faults: Value) {
    let response = admin.client.put(admin.url("/admin/faults")).json(&faults);
    let response = response.send().await.expect("a response");
    assert_eq!(response.status(), 200);
}

async fn read_in_time(stream: &mut TcpStream, buffer: &mut [u8]) -> std::io::Result<usize> {
    let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read(buffer));
    read.await.expect("bytes or an end in time")
}

/// Sends a text and reads the echo; returns the round-trip time.
async fn round_trip(stream: &mut TcpStream, text: &str) -> Duration {
    let start = Instant::now();
    stream.write_all(text.as_bytes()).await.expect("written");
    let mut back = vec![0; text.len()];
    stream.read_exact(&mut back).await.expect("an echo");
    assert_eq!(back, text.as_bytes());
    start.elapsed()
}

/// Guards against a link that does not delay one of the directions, or ignores a change of the delay.
#[tokio::test]
async fn delay_adds_up_and_changes() {
    let faults = json!({"to_upstream": {"delay_ms": 100}, "to_client": {"delay_ms": 200}});
    let (address, admin) = start_echo_link(faults).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let both = round_trip(&mut stream, "x").await;
    assert!(
        both >= Duration::from_millis(300) && both < Duration::from_millis(550),
        "{both:?}"
    );
    set_faults(&admin, json!({"to_upstream": {"delay_ms": 100}})).await;
    let one = round_trip(&mut stream, "x").await;
    assert!(
        one >= Duration::from_millis(100) && one < UNDELAYED_LIMIT,
        "{one:?}"
    );
    let faults = admin.json("/admin/faults").await;
    assert_eq!(faults["to_upstream"]["delay_ms"], 100);
    assert_eq!(faults["to_client"]["delay_ms"], 0);
}

/// Guards against data that stays queued for a fault that has been removed.
#[tokio::test]
async fn fault_change_releases_queued_data() {
    for fault in [json!({"delay_ms": 60_000}), json!({"bandwidth": 1})] {
        let (address, admin) = start_echo_link(json!({"to_upstream": fault})).await;
        let mut stream = TcpStream::connect(address).await.expect("connected");
        let free = async {
            tokio::time::sleep(UNDELAYED_LIMIT).await;
            set_faults(&admin, json!({"to_upstream": {"bandwidth": 1_000_000}})).await;
        };
        let (time, ()) = tokio::join!(round_trip(&mut stream, "held for long"), free);
        assert!(time >= UNDELAYED_LIMIT && time < WAIT_TIMEOUT, "{time:?}");
    }
}

/// Guards against jitter that reorders the bytes of a connection, and against jitter that delays all
/// connections equally, so that updates could never arrive out of order.
#[tokio::test]
async fn jitter_reorders_connections_only() {
    let (address, _) = start_echo_link(json!({"to_upstream": {"jitter_ms": 100}, "seed": 7})).await;
    let start = Instant::now();
    let mut calls = Vec::new();
    for _ in 0..8 {
        let mut stream = TcpStream::connect(address).await.expect("connected");
        calls.push(tokio::spawn(async move {
            round_trip(&mut stream, "x").await;
            start.elapsed()
        }));
    }
    let mut ends = Vec::new();
    for call in calls {
        ends.push(call.await.expect("an end"));
    }
    let overtakes = |pair: &[Duration]| pair[1] + Duration::from_millis(10) < pair[0];
    assert!(
        ends.windows(2).any(overtakes),
        "no connection overtook another: {ends:?}"
    );

    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.set_nodelay(true).expect("a socket");
    let text = "0123456789abcdefghijklmnopqrstuvwxyz".repeat(3);
    for piece in text.as_bytes().chunks(5) {
        stream.write_all(piece).await.expect("written");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut back = vec![0; text.len()];
    stream.read_exact(&mut back).await.expect("an echo");
    assert_eq!(String::from_utf8_lossy(&back), text);
}

/// Guards against a bandwidth limit that applies to each connection separately, or is inaccurate.
#[tokio::test]
async fn bandwidth_is_shared() {
    let (address, admin) = start_echo_link(json!({"to_client": {"bandwidth": 500_000}})).await;
    let text = "x".repeat(250_000);
    let start = Instant::now();
    let transfers = [(); 2].map(|()| {
        let text = text.clone();
        tokio::spawn(async move {
            let stream = TcpStream::connect(address).await.expect("connected");
            let (mut source, mut sink) = stream.into_split();
            let send = async {
                sink.write_all(text.as_bytes()).await.expect("written");
                sink.shutdown().await.expect("an end");
            };
            let mut back = Vec::new();
            let (received, ()) = tokio::join!(source.read_to_end(&mut back), send);
            assert_eq!(received.expect("an echo"), text.len());
        })
    });
    for transfer in transfers {
        transfer.await.expect("a transfer");
    }
    let time = start.elapsed();
    let expected = Duration::from_millis(950)..Duration::from_millis(1_400);
    assert!(
        expected.contains(&time),
        "{time:?} for 500,000 bytes at 500,000 bytes/s"
    );
    let counts = admin.json("/admin/counts").await;
    assert_eq!(counts["to_client"]["bytes"], 500_000);
    assert_eq!(counts["to_client"]["connections"], 2);
    assert_eq!(counts["to_upstream"]["bytes"], 500_000);
}

/// Guards against a stall that drops or delivers data, or refuses connections.
#[tokio::test]
async fn stall_holds_data() {
    let (address, admin) = start_echo_link(json!({"to_client": {"stall": true}})).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(b"held").await.expect("written");
    let mut back = [0; 4];
    let early = tokio::time::timeout(UNDELAYED_LIMIT, stream.read(&mut back)).await;
    assert!(early.is_err(), "{early:?}");
    set_faults(&admin, json!({})).await;
    stream.read_exact(&mut back).await.expect("an echo");
    assert_eq!(&back, b"held");
}

/// Guards against a cut that leaves connections open, accepts new ones or cannot be ended.
#[tokio::test]
async fn cut_closes_and_refuses() {
    let (address, admin) = start_echo_link(json!({})).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    round_trip(&mut stream, "x").await;
    set_faults(&admin, json!({"to_upstream": {"cut": true}})).await;
    let closed = read_in_time(&mut stream, &mut [0; 1]).await;
    assert_eq!(
        closed.expect_err("a reset").kind(),
        ErrorKind::ConnectionReset
    );
    wait_until("connections are refused", async || {
        let refused = TcpStream::connect(address).await;
        refused.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
    })
    .await;
    assert_eq!(admin.json("/admin/counts").await["open"], 0);
    set_faults(&admin, json!({})).await;
    wait_until("connections are accepted", async || {
        TcpStream::connect(address).await.is_ok()
    })
    .await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    round_trip(&mut stream, "x").await;
}

/// Guards against a half-open connection that closes, that loses bytes before its limit, or that
/// continues with a gap in the data after the fault is removed.
#[tokio::test]
async fn half_open_drops_silently() {
    let (address, admin) = start_echo_link(json!({"to_client": {"half_open_after": 6}})).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    round_trip(&mut stream, "1234").await;
    stream.write_all(b"5678").await.expect("written");
    let mut back = [0; 2];
    stream
        .read_exact(&mut back)
        .await
        .expect("bytes up to the limit");
    assert_eq!(&back, b"56");
    stream.shutdown().await.expect("an end");
    let more = tokio::time::timeout(UNDELAYED_LIMIT, stream.read(&mut back)).await;
    assert!(
        more.is_err(),
        "data or the end of the stream was forwarded: {more:?}"
    );
    let counts = admin.json("/admin/counts").await;
    assert_eq!(counts["to_client"]["dropped_bytes"], 2);
    set_faults(&admin, json!({})).await;
    let after = read_in_time(&mut stream, &mut back).await;
    assert!(
        after.is_err(),
        "continued after the loss of bytes: {after:?}"
    );
}

/// Guards against a half-open connection that forwards the end of the stream if no byte was dropped.
#[tokio::test]
async fn half_open_drops_end_of_stream() {
    let (address, _) = start_echo_link(json!({"to_client": {"half_open_after": 4}})).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    round_trip(&mut stream, "1234").await;
    stream.shutdown().await.expect("an end");
    let end = tokio::time::timeout(UNDELAYED_LIMIT, stream.read(&mut [0; 1])).await;
    assert!(end.is_err(), "{end:?}");
}

/// Guards against an end of the stream that overtakes data or is lost. Responses would then look
/// truncated although they are complete, or the reverse.
#[tokio::test]
async fn end_of_stream_follows_data() {
    let (address, _) =
        start_echo_link(json!({"to_client": {"delay_ms": 50, "jitter_ms": 20}})).await;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(b"last words").await.expect("written");
    stream.shutdown().await.expect("an end");
    let mut back = Vec::new();
    let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut back)).await;
    read.expect("an end in time").expect("an orderly end");
    assert_eq!(back, b"last words");
}
