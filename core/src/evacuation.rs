//! Failure domains that an operator evacuates: their servers receive no new requests until the
//! evacuation is revoked.

use crate::store;
use serde::{Deserialize, Serialize};
use std::collections;

/// One router's copy of the list of failure domains that an operator has evacuated, with its position in the store's
/// history. The backend servers in these failure domains receive no new requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Position in the store's history to which the copy corresponds.
    pub position: store::Position,
    /// Names of the evacuated failure domains.
    pub domains: collections::BTreeSet<String>,
}

/// The start or end of the evacuation of one failure domain, as read from the store. It is applied to a router's copy
/// of the [`Evacuations`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Position of the change in the store's history.
    pub position: store::Position,
    /// Name of the failure domain.
    pub domain: String,
    /// Whether the failure domain is evacuated after the change.
    pub evacuated: bool,
}

/// What one answer of the store contains about evacuated failure domains: either the changes since the position that
/// the router requested or the full list. It is applied to the router's copy of the [`Evacuations`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// Changes since the requested revision.
    Changes(Vec<Change>),
    /// All evacuated failure domains.
    All(collections::BTreeSet<String>),
}

impl Default for Update {
    fn default() -> Self {
        Self::Changes(Vec::new())
    }
}

impl Update {
    /// Whether the update contains any change or domain.
    pub fn any(&self) -> bool {
        match self {
            Self::Changes(changes) => !changes.is_empty(),
            Self::All(domains) => !domains.is_empty(),
        }
    }
}

impl Evacuations {
    /// Applies an answer of the store that corresponds to `position`. Changes older than the copy
    /// are ignored.
    pub fn apply(&mut self, position: store::Position, update: Update) {
        match update {
            Update::Changes(changes) => {
                let copy_position = self.position;
                for change in changes.into_iter().filter(|change| change.position > copy_position) {
                    match change.evacuated {
                        true => self.domains.insert(change.domain),
                        false => self.domains.remove(&change.domain),
                    };
                }
                self.position = copy_position.max(position);
            }
            Update::All(domains) => self.replace_if_newer(&Self { position, domains }),
        }
    }

    /// Replaces the copy with another one if that is newer.
    pub fn replace_if_newer(&mut self, other: &Self) {
        if other.position > self.position {
            self.clone_from(other);
        }
    }
}
