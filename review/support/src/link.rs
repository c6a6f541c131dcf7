//! A link between clients and a node that takes some time each way, and changes nothing else.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Opens a link to `target` on a free port. Returns its address.
pub fn open(target: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    http::serve(listener, move |client| {
        let Ok(node) = TcpStream::connect(target) else {
            return;
        };
        let _ = node.set_nodelay(true);
        let (Ok(from_client), Ok(from_node)) = (client.try_clone(), node.try_clone()) else {
            return;
        };
        forward(from_client, node, delay);
        forward(from_node, client, delay);
    });
    address
}

fn forward(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    });
    thread::spawn(move || {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let size = from.read(&mut buffer).unwrap_or(0);
            if sender
                .send((Instant::now() + delay, buffer[..size].to_vec()))
                .is_err()
                || size == 0
            {
                return;
            }
        }
    });
}
