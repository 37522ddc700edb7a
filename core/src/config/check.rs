//! Validates a configuration document.

use super::{
    COVER_MAX_S, Document, Fault, Layout, Problem, SHARDS_MAX, Service, TOKENS_MAX, Workspace,
};
use std::collections;

#[derive(Default)]
pub(super) struct Checker {
    pub(super) problems: Vec<Problem>,
}

impl Checker {
    fn report(&mut self, field: &str, fault: Fault) {
        self.problems.push(Problem { field: field.to_owned(), fault });
    }

    fn range(&mut self, field: &str, found: u64, min: u64, max: u64) {
        if !(min..=max).contains(&found) {
            self.report(field, Fault::OutOfRange { found, min, max });
        }
    }

    pub(super) fn names<'a>(&mut self, field: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = collections::HashSet::new();
        for name in names {
            let valid = (1..=64).contains(&name.len())
                && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
            if !valid {
                self.report(field, Fault::BadName(name.to_owned()));
            }
            if !seen.insert(name) {
                self.report(field, Fault::Duplicate(name.to_owned()));
            }
        }
    }

    pub(super) fn layout(&mut self, layout: &Layout, earlier: Option<&Layout>) {
        let shards = u64::from(SHARDS_MAX);
        self.range("layout.ledger_shards", u64::from(layout.ledger_shards), 1, shards);
        self.range("layout.log_shards", u64::from(layout.log_shards), 1, shards);
        self.range("layout.log_epoch_segments", layout.log_epoch_segments, 4, 100_000);
        if earlier.is_some_and(|earlier| earlier != layout) {
            self.report("layout", Fault::LayoutChanged);
        }
    }

    pub(super) fn workspace(&mut self, workspace: &Workspace) {
        let field = format!("workspaces.{}", workspace.name);
        self.names(&format!("{field}.keys"), workspace.keys.iter().map(|key| key.name.as_str()));
        let budgets = workspace.budgets.iter().map(|budget| budget.name.as_str());
        self.names(&format!("{field}.budgets"), budgets);
        for key in &workspace.keys {
            let valid = key.sha256.len() == 64 && key.sha256.bytes().all(|b| b.is_ascii_hexdigit());
            if !valid {
                self.report(&format!("{field}.keys.{}.sha256", key.name), Fault::BadDigest);
            }
        }
        for budget in &workspace.budgets {
            let field = format!("{field}.budgets.{}", budget.name);
            let cover = budget.cover();
            self.range(&format!("{field}.cover_s"), cover.cover_s, 0, COVER_MAX_S);
            let minimum = cover.minimum_grant_tokens;
            self.range(&format!("{field}.minimum_grant_tokens"), minimum, 0, TOKENS_MAX);
        }
    }

    pub(super) fn service(&mut self, service: &Service, document: &Document) {
        let field = format!("services.{}", service.name);
        if !document.policies.iter().any(|policy| policy.name == service.policy) {
            self.report(&format!("{field}.policy"), Fault::Unknown(service.policy.clone()));
        }
        let served_twice = |model: &String| {
            let serving = document.services.iter().filter(|other| other.models.contains(model));
            serving.count() > 1
        };
        for model in service.models.iter().filter(|model| served_twice(model)) {
            self.report(&format!("{field}.models"), Fault::Duplicate(model.clone()));
        }
        let answer = service.answer_tokens_max;
        self.range(&format!("{field}.answer_tokens_max"), answer, 1, TOKENS_MAX);
        self.range(&format!("{field}.call_tokens"), service.call_tokens, 0, TOKENS_MAX);
        let queue = service.queue_length as u64;
        self.range(&format!("{field}.queue_length"), queue, 0, 100_000);
        self.range(&format!("{field}.queue_age_ms"), service.queue_age_ms, 0, 600_000);
        self.range(&format!("{field}.answer_time_ms"), service.answer_time_ms, 1, 3_600_000);
    }
}
