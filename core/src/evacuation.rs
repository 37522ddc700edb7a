//! Failure domains that the operator evacuates: nothing new goes to their servers until that is taken back.

use crate::store;
use serde::{Deserialize, Serialize};
use std::collections;

/// The failure domains that are evacuated, as a router knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The position in the store's history that this stands for.
    pub position: store::Position,
    /// The evacuated failure domains.
    pub domains: collections::BTreeSet<String>,
}

/// A failure domain is evacuated, or that is taken back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The position of the change in the store's history.
    pub position: store::Position,
    /// The failure domain.
    pub domain: String,
    /// Whether it is evacuated from then on.
    pub evacuated: bool,
}

/// What the store says of evacuations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// What changed since the revision that was asked for.
    Changes(Vec<Change>),
    /// All evacuated failure domains.
    All(collections::BTreeSet<String>),
}

impl Default for News {
    fn default() -> Self {
        Self::Changes(Vec::new())
    }
}

impl News {
    /// Whether there is any.
    pub fn any(&self) -> bool {
        match self {
            Self::Changes(changes) => !changes.is_empty(),
            Self::All(domains) => !domains.is_empty(),
        }
    }
}

impl Evacuations {
    /// Takes in an answer of the store that stands for `position`; what is older than the copy is passed over.
    pub fn take(&mut self, position: store::Position, news: News) {
        match news {
            News::Changes(changes) => {
                let known = self.position;
                for change in changes.into_iter().filter(|change| change.position > known) {
                    match change.evacuated {
                        true => self.domains.insert(change.domain),
                        false => self.domains.remove(&change.domain),
                    };
                }
                self.position = known.max(position);
            }
            News::All(domains) => self.take_over(&Self { position, domains }),
        }
    }

    /// Takes over a copy that is newer.
    pub fn take_over(&mut self, other: &Self) {
        if other.position > self.position {
            self.clone_from(other);
        }
    }
}
