//! Names and numbers that identify things. Aliases keep signatures readable without new types.

use compact_str::CompactString;

/// Identifies one node; unique in the mesh.
pub type NodeId = CompactString;
/// Name of a data centre.
pub type DataCentreName = CompactString;
/// Name of a region, a group of data centres joined by fast links.
pub type RegionName = CompactString;
/// Name of a service.
pub type ServiceName = CompactString;
/// Name of a profile.
pub type ProfileName = CompactString;
/// Version of a profile; grows with each publish and withdrawal.
pub type ProfileVersion = u64;
/// Name of a cluster within one profile.
pub type ClusterName = CompactString;
/// Name of a listener of a node.
pub type ListenerName = CompactString;
/// Name of a secret of a node.
pub type SecretName = CompactString;
/// Identifies one publish, so that a write whose answer was lost can be recognised.
pub type PublishId = CompactString;
/// Lower-case hexadecimal SHA-256 of a bundle's canonical JSON.
pub type BundleDigest = CompactString;
