//! Names and identifiers. They are type aliases, which keep signatures readable without newtypes.

use compact_str::CompactString;

/// Id of a node; unique in the mesh.
pub type NodeId = CompactString;
/// Name of a data centre; unique in the mesh.
pub type DataCentreName = CompactString;
/// Name of a region: a group of data centres connected by fast links.
pub type RegionName = CompactString;
/// Name of a service.
pub type ServiceName = CompactString;
/// Version of a service's program, as its targets announce it.
pub type VersionName = CompactString;
/// Name of a profile.
pub type ProfileName = CompactString;
/// Version of a profile; increases with each publish and withdrawal.
pub type ProfileVersion = u64;
/// Name of a cluster; unique within a profile.
pub type ClusterName = CompactString;
/// Name of a listener; unique within a node.
pub type ListenerName = CompactString;
/// Name of a secret; unique within a node.
pub type SecretName = CompactString;
/// Id of a publish operation, by which a write whose response was lost can be recognised when read
/// back.
pub type PublishId = CompactString;
/// Lower-case hexadecimal SHA-256 of a bundle's canonical JSON.
pub type BundleDigest = CompactString;
