//! How the fake store answers the routers' calls for news.

use super::{CALL_TIMEOUT_MS, Fleet, Store, Waiting};
use doorswitch_core::{evacuation, watch};
use rand::RngExt;

impl Fleet {
    pub(super) fn reaches_store(&self, place: usize) -> bool {
        let router = &self.routers[place];
        self.store == Store::Well && !router.cut && !router.turned_away
    }

    pub(super) fn answer_calls(&mut self, place: usize) {
        for waiting in std::mem::take(&mut self.routers[place].waiting) {
            let answer = self.answer(place, &waiting);
            let arrives_ms = self.now_ms + self.rng.random_range(0..=self.answer_ms);
            let router = &mut self.routers[place];
            match answer {
                Some(outcome) => router.answers.push((arrives_ms, waiting.call, outcome)),
                None => router.waiting.push(waiting),
            }
        }
        let now_ms = self.now_ms;
        let arrived: Vec<_> =
            self.routers[place].answers.extract_if(.., |(at_ms, ..)| *at_ms <= now_ms).collect();
        for (_, call, outcome) in arrived {
            self.routers[place].node.watched(call, outcome, now_ms);
            self.carry_out(place);
        }
    }

    fn answer(&self, place: usize, waiting: &Waiting) -> Option<watch::Outcome> {
        let Waiting { call, sent_ms, unanswered } = waiting;
        let waited_ms = self.now_ms - sent_ms;
        let router = &self.routers[place];
        if *unanswered || router.cut || self.store == Store::Silent {
            let over = waited_ms >= call.wait_ms + CALL_TIMEOUT_MS;
            return over.then_some(watch::Outcome::Silent);
        }
        if router.turned_away || self.store == Store::Refuses {
            return Some(watch::Outcome::Refused);
        }
        if call.revision > 0 && call.revision < self.forgotten {
            return Some(watch::Outcome::Forgotten);
        }
        let news = self.news(call);
        (news.any() || waited_ms >= call.wait_ms)
            .then_some(watch::Outcome::Answered { revision: self.revision, news })
    }

    fn evacuations(&self, call: &watch::Call) -> evacuation::News {
        if call.revision == 0 {
            return evacuation::News::All(self.evacuated.clone());
        }
        let later = self.evacuations.iter().map(|(_, change)| change);
        let later = later.filter(|change| change.revision > call.revision);
        evacuation::News::Changes(later.cloned().collect())
    }

    fn news(&self, call: &watch::Call) -> watch::News {
        match call.topic {
            watch::Topic::Configuration => {
                let changed = self.config_revision > call.revision;
                let published = changed.then(|| Box::new(self.published.clone()));
                let evacuations = self.evacuations(call);
                watch::News::Configuration(watch::ConfigurationNews { published, evacuations })
            }
            watch::Topic::Servers if call.revision == 0 => {
                watch::News::AllServers(self.servers.values().map(|(_, vm)| vm.clone()).collect())
            }
            watch::Topic::Servers => {
                let later = self.history.iter().filter(|change| change.revision > call.revision);
                let changes = later.filter_map(|change| {
                    let (vm, record) = change.server.clone()?;
                    let record =
                        record.map_or(watch::ServerRecord::Gone, watch::ServerRecord::Listed);
                    Some(watch::ServerChange { vm, revision: change.revision, record })
                });
                watch::News::Servers(changes.collect())
            }
        }
    }
}
