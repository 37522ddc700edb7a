//! Failure domains that the operator evacuates: nothing new goes to their servers until that is taken back.

use serde::{Deserialize, Serialize};
use std::collections;

/// The failure domains that are evacuated, as a router knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The store's revision that this stands for; 0 if nothing is known.
    pub revision: u64,
    /// The evacuated failure domains.
    pub domains: collections::BTreeSet<String>,
}

/// A failure domain is evacuated, or that is taken back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The store's revision of the change.
    pub revision: u64,
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
    /// Takes in an answer of the store that stands for `revision`; what is older than the copy is passed over.
    pub fn take(&mut self, revision: u64, news: News) {
        match news {
            News::Changes(changes) => {
                let known = self.revision;
                for change in changes.into_iter().filter(|change| change.revision > known) {
                    match change.evacuated {
                        true => self.domains.insert(change.domain),
                        false => self.domains.remove(&change.domain),
                    };
                }
                self.revision = known.max(revision);
            }
            News::All(domains) => self.take_over(&Self { revision, domains }),
        }
    }

    /// Takes over a copy that is newer.
    pub fn take_over(&mut self, other: &Self) {
        if other.revision > self.revision {
            self.clone_from(other);
        }
    }
}
