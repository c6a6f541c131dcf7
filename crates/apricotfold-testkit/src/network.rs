//! Loopback addresses of one mesh.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

/// Port on which a node serves callers.
pub const CALLER_PORT: u16 = 8080;
/// Port on which a node receives calls from other nodes.
pub const MESH_PORT: u16 = 8081;
/// Port of a node's control service.
pub const CONTROL_PORT: u16 = 8082;
/// Port of a node's admin endpoints.
pub const ADMIN_PORT: u16 = 8083;
/// Port of a target.
pub const TARGET_PORT: u16 = 9000;
/// Port of the store.
pub const STORE_PORT: u16 = 2379;
/// Ports of fault-injecting links count up from here.
pub const LINK_PORT: u16 = 10_000;

/// Addresses that one mesh may have, 1,024 in four blocks.
const SUBNETS_PER_MESH: u8 = 4;

static NEXT_MESH: AtomicU8 = AtomicU8::new(0);

/// The addresses of one mesh within 127.0.0.0/8.
#[derive(Clone, Copy, Debug)]
pub struct MeshNetwork {
    second_octet: u8,
    third_octet: u8,
}

impl MeshNetwork {
    /// Takes a network that no other mesh of this process uses. Processes that run at the same
    /// time differ in the second number, which comes from the process id.
    #[must_use]
    pub fn allocate() -> Self {
        let process = u8::try_from(std::process::id() % 220).unwrap_or_default();
        let mesh = NEXT_MESH.fetch_add(1, Ordering::Relaxed);
        Self {
            second_octet: 20 + process,
            third_octet: mesh.wrapping_mul(SUBNETS_PER_MESH),
        }
    }

    /// Address of a host of the mesh.
    ///
    /// # Panics
    ///
    /// Panics beyond 1,000 hosts.
    #[must_use]
    pub fn host(&self, index: usize) -> IpAddr {
        assert!(index < 1_000, "a mesh has at most 1,000 hosts");
        let block = u8::try_from(index / 250).unwrap_or_default();
        let last = u8::try_from(index % 250).unwrap_or_default() + 1;
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.second_octet,
            self.third_octet.wrapping_add(block),
            last,
        ))
    }

    /// Address and port of a host.
    #[must_use]
    pub fn socket(&self, index: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.host(index), port)
    }
}
