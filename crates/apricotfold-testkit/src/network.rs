//! Allocation of loopback addresses to meshes.

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
/// First port of the fault-injecting links of a host; further links use the next ports.
pub const LINK_PORT: u16 = 10_000;

/// Number of /24 subnets per mesh, for 1,024 addresses.
const SUBNETS_PER_MESH: u8 = 4;

static NEXT_MESH: AtomicU8 = AtomicU8::new(0);

/// Address range of one mesh within 127.0.0.0/8.
#[derive(Clone, Copy, Debug)]
pub struct MeshNetwork {
    second_octet: u8,
    third_octet: u8,
}

impl MeshNetwork {
    /// Allocates an address range that no other mesh of this process uses. The second octet is
    /// derived from the process id, so that processes that run at the same time rarely share a
    /// range.
    #[must_use]
    pub fn allocate() -> Self {
        let process = u8::try_from(std::process::id() % 220).unwrap_or_default();
        let mesh = NEXT_MESH.fetch_add(1, Ordering::Relaxed);
        Self {
            second_octet: 20 + process,
            third_octet: mesh.wrapping_mul(SUBNETS_PER_MESH),
        }
    }

    /// Returns the address of a host. Host 0 is the store; nodes start at 1.
    ///
    /// # Panics
    ///
    /// Panics when `index` is 1,000 or more.
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

    /// Returns the address of a host with a port.
    #[must_use]
    pub fn socket(&self, index: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.host(index), port)
    }
}
