//! What calls to backend servers have in common.

use crate::{api_error, control};
use actix::prelude::Addr;
use actix_web::http::StatusCode;
use doorswitch_core::{ids, node};

/// A request that the control thread has placed on a server.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Its slot in the control state.
    pub slot: ids::RequestSlot,
    /// The server's address.
    pub address: String,
    /// The server's VM.
    pub vm: String,
    /// The life of the server that it is meant for.
    pub life: ids::ServerLife,
    /// Identifies this try.
    pub attempt: ids::AttemptId,
    /// Tokens of the prompt that the server is taken to have to read.
    pub unread_tokens: u64,
}

/// What came of asking for a placement.
#[derive(Debug)]
pub enum Admission {
    /// Send it.
    Placed(Placement),
    /// It ran before; this was recorded.
    Replay(Option<doorswitch_core::log_index::Outcome>),
    /// It did not run.
    Refused(api_error::ApiError),
}

/// Asks the control thread for a placement.
pub async fn admit(control: &Addr<control::Control>, wanted: node::Wanted) -> Admission {
    let Ok((slot, reply)) = control.send(control::Admit { wanted }).await else {
        return Admission::Refused(api_error::ApiError::closing());
    };
    admission(slot, control::ask(Ok(reply)).await)
}

/// Asks the control thread for another server.
/// `may_have_run` tells whether the failed try counts as an attempt.
pub async fn retry(
    control: &Addr<control::Control>,
    slot: ids::RequestSlot,
    may_have_run: bool,
) -> Admission {
    let reply = control.send(control::Retry { slot, may_have_run }).await;
    admission(slot, control::ask(reply).await)
}

/// Reports the end of a request and waits until it is safe.
pub async fn finish(
    control: &Addr<control::Control>,
    slot: ids::RequestSlot,
    ending: node::Ending,
) {
    let reply = control.send(control::Finish { slot, ending }).await;
    control::ask(reply).await;
}

/// Whether a failed call certainly sent nothing.
pub fn not_sent(error: &awc::error::SendRequestError) -> bool {
    use awc::error::SendRequestError;
    matches!(error, SendRequestError::Connect(_) | SendRequestError::Url(_))
}

/// Whether a server said that it did not start the request.
pub fn says_not_run(status: StatusCode, body: &[u8]) -> bool {
    let said = || {
        let body: serde_json::Value = serde_json::from_slice(body).ok()?;
        Some(body.get("error")?.get("ran")?.as_str()? == "not_run")
    };
    status == StatusCode::SERVICE_UNAVAILABLE && said() == Some(true)
}

fn admission(slot: ids::RequestSlot, answer: Option<node::Answer>) -> Admission {
    match answer {
        Some(node::Answer::Dispatch { address, vm, life, attempt, unread_tokens }) => {
            Admission::Placed(Placement { slot, address, vm, life, attempt, unread_tokens })
        }
        Some(node::Answer::Replay(outcome)) => Admission::Replay(outcome),
        Some(node::Answer::Refuse { reason, retry_after_ms }) => {
            Admission::Refused(api_error::refusal(reason, retry_after_ms))
        }
        Some(node::Answer::Closed { .. }) | None => {
            Admission::Refused(api_error::ApiError::closing())
        }
    }
}
