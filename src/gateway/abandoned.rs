//! Ends runs whose clients have left and that say nothing more, and finds out what they may have made.

use super::{attempt, backends, listener, stopped_runs, ticket};
use crate::upstream;
use std::time::Instant;

/// A run whose client has left.
#[derive(Clone, Copy)]
pub struct Run<'a> {
    /// The gateway that served the client.
    pub gateway: &'a listener::Gateway,
    /// The client's request.
    pub call: &'a attempt::Call,
    /// The server that may run it.
    pub placement: &'a upstream::Placement,
}

/// What is known of a run that was ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The server is reached, so it knows that the connection has ended, and what it had sent has arrived.
    Reached,
    /// The server stopped the run when it was asked to.
    Stopped {
        /// The tokens of the answer that it had made.
        answer_tokens: u64,
    },
    /// The run may go on to its end.
    Unknown,
}

impl Run<'_> {
    /// Ends a run on whose connection nothing was heard since the server was told, at `closed`, that the client has left,
    /// and charges what it may have made.
    pub async fn end_silent(
        &self,
        connection: backends::Connection,
        closed: Instant,
        ticket: ticket::Ticket,
    ) {
        match self.stop(connection, closed).await {
            End::Reached if self.call.shows_tokens() => ticket.finish_cancelled(),
            End::Stopped { answer_tokens } => ticket.finish_stopped(answer_tokens),
            End::Reached | End::Unknown => ticket.finish_unknown(),
        }
    }

    /// Closes the connection. If the server isn't reached, it is asked through another router to stop the run.
    async fn stop(&self, connection: backends::Connection, closed: Instant) -> End {
        let via = connection.via.clone();
        connection.handle().abort();
        drop(connection);
        if self.is_reached(via.as_deref(), closed).await {
            return End::Reached;
        }
        let context = self.gateway.attempts();
        match stopped_runs::stop(context, self.call, self.placement).await {
            stopped_runs::Stop::Stopped { run, .. } => {
                stopped_runs::release(context, self.placement, &run).await;
                let answer_tokens = run.events.saturating_mul(self.call.engine.event_tokens);
                End::Stopped { answer_tokens }
            }
            stopped_runs::Stop::NotAsked
            | stopped_runs::Stop::NoRun
            | stopped_runs::Stop::NotKept
            | stopped_runs::Stop::NoReply => End::Unknown,
        }
    }

    /// Whether the way `via` to the server still works: something has arrived on it since, or it can be connected to.
    async fn is_reached(&self, via: Option<&str>, closed: Instant) -> bool {
        let backends = &self.gateway.backends;
        backends.has_received_since(self.placement, via, closed)
            || backends.check_way(self.placement, via).await
                && !backends.is_way_lost(self.placement, via)
    }
}
