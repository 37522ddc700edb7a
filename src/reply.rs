//! Responses with the answers of models: streamed or whole, new or replayed.

use crate::{answers, api_error, completion, model};
use actix_web::HttpResponse;
use futures_util::stream;
use tokio::sync::mpsc;

/// The task that runs a request.
pub type Run = actix_web::rt::task::JoinHandle<Result<(), model::Failure>>;

/// Streams an answer as server-sent events while its pieces arrive.
pub fn streamed(
    envelope: completion::Envelope,
    include_usage: bool,
    pieces: mpsc::Receiver<model::Piece>,
    run: Run,
) -> HttpResponse {
    let state = (envelope, pieces, Some(run));
    let events = stream::unfold(state, move |(envelope, mut pieces, run)| async move {
        let run = run?;
        let event = match pieces.recv().await {
            Some(model::Piece::Text(text, finish)) => envelope.chunk(&text, finish.as_deref()),
            Some(model::Piece::End(usage)) => {
                let mut last = String::new();
                if include_usage {
                    last.push_str(&envelope.usage_chunk(usage));
                }
                last.push_str(completion::DONE);
                return Some((Ok(bytes::Bytes::from(last)), (envelope, pieces, None)));
            }
            None => {
                let event = completion::event(&failure_body(run).await);
                return Some((Ok(bytes::Bytes::from(event)), (envelope, pieces, None)));
            }
        };
        Some((Ok::<_, actix_web::Error>(bytes::Bytes::from(event)), (envelope, pieces, Some(run))))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header(("Cache-Control", "no-cache"))
        .streaming(events)
}

/// Collects the pieces of an answer and returns it once it is complete.
pub async fn whole(
    envelope: completion::Envelope,
    mut pieces: mpsc::Receiver<model::Piece>,
    run: Run,
) -> Result<HttpResponse, api_error::ApiError> {
    let mut answer = String::new();
    let mut finish_reason = "stop".to_owned();
    while let Some(piece) = pieces.recv().await {
        match piece {
            model::Piece::Text(text, finish) => {
                answer.push_str(&text);
                finish_reason = finish.unwrap_or(finish_reason);
            }
            model::Piece::End(usage) => {
                return Ok(HttpResponse::Ok().json(envelope.whole(&answer, &finish_reason, usage)));
            }
        }
    }
    Err(failure(run).await)
}

/// Builds the response to a repeated request from its recorded answer.
pub fn replayed(
    request: &completion::Request,
    stream: bool,
    recorded: &answers::RecordedAnswer,
) -> HttpResponse {
    let envelope = completion::Envelope {
        id: recorded.id.clone(),
        model: request.model.clone(),
        endpoint: request.endpoint,
        created_s: recorded.created_s,
    };
    let mut response = HttpResponse::Ok();
    response.insert_header(("Doorswitch-Replayed", "true"));
    if !stream {
        let whole = envelope.whole(&recorded.text, &recorded.finish_reason, recorded.usage);
        return response.json(whole);
    }
    let mut events = envelope.chunk(&recorded.text, Some(&recorded.finish_reason));
    if request.include_usage {
        events.push_str(&envelope.usage_chunk(recorded.usage));
    }
    events.push_str(completion::DONE);
    response.content_type("text/event-stream").body(events)
}

async fn failure_body(run: Run) -> serde_json::Value {
    failure(run).await.body()
}

/// The error with which the task of a request ended.
async fn failure(run: Run) -> api_error::ApiError {
    match run.await {
        Ok(Err(failure)) => failure.error,
        _ => api_error::ApiError::closing(),
    }
}
