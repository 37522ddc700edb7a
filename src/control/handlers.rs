//! What the actor does with each message.

use super::{Control, messages};
use crate::peers;
use actix::prelude::Handler;
use doorswitch_core::servers;

impl peers::Receiver for Control {}

impl Handler<peers::Arrived> for Control {
    type Result = ();

    fn handle(&mut self, arrived: peers::Arrived, context: &mut Self::Context) {
        let now_ms = self.now_ms();
        self.node.message(arrived.0, now_ms);
        self.carry_out(context);
    }
}

impl Handler<peers::GossipArrived> for Control {
    type Result = ();

    fn handle(&mut self, arrived: peers::GossipArrived, context: &mut Self::Context) {
        let now_ms = self.now_ms();
        self.node.gossip(&arrived.0, now_ms);
        self.carry_out(context);
    }
}

impl Handler<messages::Admit> for Control {
    type Result = actix::MessageResult<messages::Admit>;

    fn handle(&mut self, mut admit: messages::Admit, context: &mut Self::Context) -> Self::Result {
        let now_ms = self.now_ms();
        admit.wanted.deadline_ms = admit.wanted.deadline_ms.saturating_add(now_ms);
        let slot = self.node.admit(admit.wanted, now_ms);
        let reply = self.wait_for(slot);
        self.carry_out(context);
        actix::MessageResult((slot, reply))
    }
}

impl Handler<messages::Finish> for Control {
    type Result = actix::MessageResult<messages::Finish>;

    fn handle(&mut self, finish: messages::Finish, context: &mut Self::Context) -> Self::Result {
        let now_ms = self.now_ms();
        let reply = self.wait_for(finish.slot);
        self.node.finish(finish.slot, finish.ending, now_ms);
        self.carry_out(context);
        actix::MessageResult(reply)
    }
}

impl Handler<messages::Retry> for Control {
    type Result = actix::MessageResult<messages::Retry>;

    fn handle(&mut self, retry: messages::Retry, context: &mut Self::Context) -> Self::Result {
        let now_ms = self.now_ms();
        let reply = self.wait_for(retry.slot);
        self.node.retry(retry.slot, retry.tried, now_ms);
        self.carry_out(context);
        actix::MessageResult(reply)
    }
}

impl Handler<messages::Reported> for Control {
    type Result = ();

    fn handle(&mut self, reported: messages::Reported, _: &mut Self::Context) {
        self.node.report_load_of(&reported.vm, reported.life, reported.load);
    }
}

impl Handler<messages::HeadReported> for Control {
    type Result = ();

    fn handle(&mut self, reported: messages::HeadReported, context: &mut Self::Context) {
        let now_ms = self.now_ms();
        let messages::HeadReported { vm, life, said, sent, heard } = reported;
        let age = servers::AnswerAge {
            sent_ms: sent.elapsed().as_millis() as u64,
            received_ms: heard.elapsed().as_millis() as u64,
        };
        self.node.report_said(&vm, life, &said, age, now_ms);
        self.carry_out(context);
    }
}

impl Handler<messages::RunBroken> for Control {
    type Result = ();

    fn handle(&mut self, broken: messages::RunBroken, context: &mut Self::Context) {
        let now_ms = self.now_ms();
        self.node.run_broken(&broken.0, now_ms);
        self.carry_out(context);
    }
}

impl Handler<messages::ServerRefused> for Control {
    type Result = ();

    fn handle(&mut self, refused: messages::ServerRefused, context: &mut Self::Context) {
        let now_ms = self.now_ms();
        self.node.server_refused(&refused.0, now_ms);
        self.carry_out(context);
    }
}

impl Handler<messages::ServerAccepted> for Control {
    type Result = ();

    fn handle(&mut self, accepted: messages::ServerAccepted, _: &mut Self::Context) {
        self.node.server_accepted(&accepted.0);
    }
}

impl Handler<messages::EndedWell> for Control {
    type Result = ();

    fn handle(&mut self, ended: messages::EndedWell, context: &mut Self::Context) {
        let now_ms = self.now_ms();
        self.node.ended_well(ended.0, now_ms);
        self.carry_out(context);
    }
}

impl Handler<messages::Release> for Control {
    type Result = usize;

    fn handle(&mut self, release: messages::Release, context: &mut Self::Context) -> usize {
        let now_ms = self.now_ms();
        let crashes = self.node.release(release.request, release.dry_run, now_ms);
        self.carry_out(context);
        crashes
    }
}

impl Handler<messages::ReleaseWithheld> for Control {
    type Result = Option<u64>;

    fn handle(
        &mut self,
        release: messages::ReleaseWithheld,
        context: &mut Self::Context,
    ) -> Option<u64> {
        let tokens = self.node.release_withheld(&release.budget, release.dry_run)?;
        if !release.dry_run && tokens > 0 {
            log::warn!("event=withheld_released budget={} tokens={tokens}", release.budget);
        }
        self.carry_out(context);
        Some(tokens)
    }
}

impl Handler<messages::Answering> for Control {
    type Result = ();

    fn handle(&mut self, answering: messages::Answering, _: &mut Self::Context) {
        self.node.answering(answering.0);
    }
}

impl Handler<messages::Rates> for Control {
    type Result = ();

    fn handle(&mut self, rates: messages::Rates, _: &mut Self::Context) {
        self.node.set_platform_rates(rates.reads_per_s, rates.writes_per_s);
    }
}

impl Handler<messages::OfferSeeds> for Control {
    type Result = ();

    fn handle(&mut self, offer: messages::OfferSeeds, _: &mut Self::Context) {
        self.node.offer_seeds(offer.0);
    }
}

impl Handler<messages::Dump> for Control {
    type Result = actix::MessageResult<messages::Dump>;

    fn handle(&mut self, _: messages::Dump, _: &mut Self::Context) -> Self::Result {
        let mut dump = self.node.dump(self.now_ms());
        dump["open_answers"] = self.published.open_answers().into();
        actix::MessageResult(dump)
    }
}

impl Handler<messages::Stop> for Control {
    type Result = ();

    fn handle(&mut self, _: messages::Stop, context: &mut Self::Context) {
        log::info!("event=stopping");
        let now_ms = self.now_ms();
        self.node.stop(now_ms);
        self.carry_out(context);
    }
}
