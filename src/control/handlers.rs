//! The message handlers of the control actor.

use super::{Control, messages};
use crate::links::relay;
use crate::{logging, peers};
use actix::prelude::{Handler, ResponseFuture};
use doorswitch_core::{members, message, quarantine, servers};
use std::net;
use tokio::sync::oneshot;

impl peers::Receiver for Control {}

impl Handler<peers::MessageReceived> for Control {
    type Result = ();

    fn handle(&mut self, received: peers::MessageReceived, context: &mut Self::Context) {
        let now_ms = self.now_ms();
        self.node.handle_message(received.0, now_ms);
        self.perform_actions(context);
    }
}

impl Handler<peers::GossipReceived> for Control {
    type Result = ();

    fn handle(&mut self, received: peers::GossipReceived, context: &mut Self::Context) {
        let now_ms = self.now_ms();
        self.node.handle_gossip(&received.0, now_ms);
        self.perform_actions(context);
    }
}

impl Handler<relay::Open> for Control {
    type Result = ResponseFuture<Result<relay::Opened, message::ConnectReply>>;

    fn handle(&mut self, open: relay::Open, _: &mut Self::Context) -> Self::Result {
        let allowed = self.allows_connection(&open);
        let (links, draining) = (self.links.clone(), !self.published.ready());
        Box::pin(async move {
            if !allowed {
                log::warn!(
                    "event=relay_refused from={} source={} server={}",
                    open.request.from,
                    open.source,
                    logging::quoted(&open.request.address)
                );
                return Err(message::ConnectReply::NotAllowed);
            }
            if draining {
                return Err(message::ConnectReply::Unavailable);
            }
            links.open_for_peer(&open.request.address).await
        })
    }
}

impl Control {
    /// Whether a request for a connection comes from a live router of this fleet, is addressed to this one, and names a
    /// server in the list that does not leave.
    fn allows_connection(&self, open: &relay::Open) -> bool {
        let request = &open.request;
        let is_member = self.node.members().find(request.from).is_some_and(|record| {
            let address = record.address.parse::<net::SocketAddr>();
            record.health <= members::Health::Suspect
                && address.is_ok_and(|address| address.ip() == open.source)
        });
        let is_server = || {
            let mut servers = self.node.servers().iter();
            servers.any(|(_, server)| server.is_live() && server.vm.address == request.address)
        };
        request.to == self.incarnation && is_member && is_server()
    }
}

impl Handler<messages::Admit> for Control {
    type Result = actix::MessageResult<messages::Admit>;

    fn handle(&mut self, mut admit: messages::Admit, context: &mut Self::Context) -> Self::Result {
        let now_ms = self.now_ms();
        let queued_ms = admit.submitted_at.elapsed().as_millis() as u64;
        let left_ms = admit.request.deadline_ms.saturating_sub(queued_ms);
        admit.request.deadline_ms = left_ms.saturating_add(now_ms);
        let slot = self.node.admit(admit.request, now_ms);
        let reply = self.register_waiter(slot);
        self.perform_actions(context);
        actix::MessageResult((slot, reply))
    }
}

impl Handler<messages::FindStreamOrigin> for Control {
    type Result = actix::MessageResult<messages::FindStreamOrigin>;

    fn handle(
        &mut self,
        find: messages::FindStreamOrigin,
        context: &mut Self::Context,
    ) -> Self::Result {
        let now_ms = self.now_ms();
        let search = self.node.find_stream_origin(find.0, now_ms);
        let (sender, receiver) = oneshot::channel();
        self.origin_waiters.insert(search, sender);
        self.perform_actions(context);
        actix::MessageResult(receiver)
    }
}

impl Handler<messages::Finish> for Control {
    type Result = actix::MessageResult<messages::Finish>;

    fn handle(&mut self, finish: messages::Finish, context: &mut Self::Context) -> Self::Result {
        let now_ms = self.now_ms();
        let reply = self.register_waiter(finish.slot);
        self.node.finish(finish.slot, finish.outcome, now_ms);
        self.perform_actions(context);
        actix::MessageResult(reply)
    }
}

impl Handler<messages::Retry> for Control {
    type Result = actix::MessageResult<messages::Retry>;

    fn handle(&mut self, retry: messages::Retry, context: &mut Self::Context) -> Self::Result {
        let now_ms = self.now_ms();
        let reply = self.register_waiter(retry.slot);
        self.node.retry(retry.slot, retry.failure, now_ms);
        self.perform_actions(context);
        actix::MessageResult(reply)
    }
}

impl Handler<messages::LoadReported> for Control {
    type Result = ();

    fn handle(&mut self, reported: messages::LoadReported, _: &mut Self::Context) {
        self.node.report_load_of(&reported.vm, reported.incarnation, reported.load);
    }
}

impl Handler<messages::DirectivesReported> for Control {
    type Result = ();

    fn handle(&mut self, reported: messages::DirectivesReported, context: &mut Self::Context) {
        let now_ms = self.now_ms();
        let messages::DirectivesReported { vm, incarnation, directives, sent_at, received_at } =
            reported;
        let age = servers::AnswerAge {
            sent_ms: sent_at.elapsed().as_millis() as u64,
            received_ms: received_at.elapsed().as_millis() as u64,
        };
        self.node.report_directives(&vm, incarnation, &directives, age, now_ms);
        self.perform_actions(context);
    }
}

impl Handler<messages::RunBroken> for Control {
    type Result = ();

    fn handle(&mut self, broken: messages::RunBroken, context: &mut Self::Context) {
        let now_ms = self.now_ms();
        self.node.run_broken(&broken.0, now_ms);
        self.perform_actions(context);
    }
}

impl Handler<messages::ServerRefused> for Control {
    type Result = ();

    fn handle(&mut self, refused: messages::ServerRefused, context: &mut Self::Context) {
        let now_ms = self.now_ms();
        self.node.record_connection_refused(&refused.0, now_ms);
        self.perform_actions(context);
    }
}

impl Handler<messages::ServerAccepted> for Control {
    type Result = ();

    fn handle(&mut self, accepted: messages::ServerAccepted, _: &mut Self::Context) {
        self.node.record_connection_accepted(&accepted.0);
    }
}

impl Handler<messages::RunSucceeded> for Control {
    type Result = ();

    fn handle(&mut self, ended: messages::RunSucceeded, context: &mut Self::Context) {
        let now_ms = self.now_ms();
        let request = quarantine::Subjects { request: ended.request, parts: &ended.parts };
        self.node.run_succeeded(request, now_ms);
        self.perform_actions(context);
    }
}

impl Handler<messages::Release> for Control {
    type Result = usize;

    fn handle(&mut self, release: messages::Release, context: &mut Self::Context) -> usize {
        let now_ms = self.now_ms();
        let crashes = self.node.release(release.request, release.dry_run, now_ms);
        self.perform_actions(context);
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
        self.perform_actions(context);
        Some(tokens)
    }
}

impl Handler<messages::AnswerStarted> for Control {
    type Result = ();

    fn handle(&mut self, started: messages::AnswerStarted, context: &mut Self::Context) {
        let now_ms = self.now_ms();
        self.node.answer_started(started.0, now_ms);
        self.perform_actions(context);
    }
}

impl Handler<messages::SetPlatformRates> for Control {
    type Result = ();

    fn handle(&mut self, rates: messages::SetPlatformRates, _: &mut Self::Context) {
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
        dump["links"] = serde_json::json!(self.links.state());
        actix::MessageResult(dump)
    }
}

impl Handler<messages::Stop> for Control {
    type Result = ();

    fn handle(&mut self, _: messages::Stop, context: &mut Self::Context) {
        log::info!("event=stopping");
        let now_ms = self.now_ms();
        self.node.stop(now_ms);
        self.perform_actions(context);
    }
}
