//! Endpoints considered live, according to the record table and the failure detector.

use apricotfold_schema::peer::{EndpointBody, RecordKind};

use crate::{RecordBody, RecordTable, RecordVersion, failure_detector::FailureDetector};

/// View of the record table filtered by the failure detector.
#[derive(Clone, Copy)]
pub(crate) struct LiveMembers<'a> {
    pub(crate) table: &'a RecordTable,
    pub(crate) detector: &'a FailureDetector,
}

impl<'a> LiveMembers<'a> {
    /// Endpoints that were not removed, including those of members considered gone.
    pub(crate) fn known(self) -> impl Iterator<Item = (RecordVersion, &'a EndpointBody)> {
        let stored = self.table.range(RecordKind::Endpoint, "");
        stored.filter_map(|(_, stored)| match &stored.body {
            RecordBody::Endpoint(body) => Some((stored.version, body)),
            _ => None,
        })
    }

    /// Endpoints of live members in data centres that are not lost.
    pub(crate) fn iter(self) -> impl Iterator<Item = (RecordVersion, &'a EndpointBody)> {
        self.known()
            .filter(move |(version, body)| self.is_live(*version, body))
    }

    pub(crate) fn is_live(self, version: RecordVersion, body: &EndpointBody) -> bool {
        !self.detector.is_gone(&body.node, version.epoch)
            && !self.detector.is_lost(&body.data_centre)
    }

    /// Endpoints of live members whose target selected the profile.
    pub(crate) fn with_profile(self, profile: &'a str) -> impl Iterator<Item = &'a EndpointBody> {
        self.iter()
            .map(|(_, body)| body)
            .filter(move |body| body.profile == profile)
    }
}
