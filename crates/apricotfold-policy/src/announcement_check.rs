//! Check of announcements against what a node knows of its target. See `docs/platform.md`, section 4.

use std::net::SocketAddr;

use apricotfold_model::{InstanceAnnouncement, ServiceName};
use strum::{Display, IntoStaticStr};

/// Why a message of a target changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AnnouncementRefusal {
    /// It cannot be read.
    Unreadable,
    /// It is of another service than the node's.
    OtherService,
    /// It names another address than that of the node's target.
    OtherAddress,
    /// It states no slots.
    NoSlots,
    /// The target itself has not confirmed it.
    Unconfirmed,
    /// It is older than what is known, or of a target that has left.
    Outdated,
}

/// What a node knows of its target from its settings. Anyone on the instance can send an announcement, and
/// one that another program has sent for its own target is as well-formed as the target's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetIdentity {
    /// Service of the target.
    pub service: ServiceName,
    /// Address of the target.
    pub address: SocketAddr,
}

impl TargetIdentity {
    /// Returns whether an announcement can be of the node's target. The route table plays no part in it: a
    /// service may be named by the next version only, or no longer.
    ///
    /// # Errors
    ///
    /// Returns why it cannot.
    pub fn check(&self, announcement: &InstanceAnnouncement) -> Result<(), AnnouncementRefusal> {
        if announcement.service != self.service {
            return Err(AnnouncementRefusal::OtherService);
        }
        if announcement.address != self.address {
            return Err(AnnouncementRefusal::OtherAddress);
        }
        if announcement.slots == 0 {
            return Err(AnnouncementRefusal::NoSlots);
        }
        Ok(())
    }
}
