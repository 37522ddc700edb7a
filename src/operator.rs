//! The HTTP API for operators: health, metrics and, with the operators' key, the dump of the state and the release of
//! quarantined requests and of withheld tokens.

use crate::{auth, control, front, telemetry};
use actix_web::{HttpRequest, HttpResponse, web};

/// Registers the routes of the operators' API.
pub fn routes(config: &mut web::ServiceConfig, shared: front::Shared) {
    config
        .app_data(web::Data::new(shared))
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics))
        .route("/dump", web::get().to(dump))
        .route("/quarantine/release", web::post().to(release))
        .route("/budget/release", web::post().to(release_withheld));
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

async fn readyz(shared: web::Data<front::Shared>) -> HttpResponse {
    match shared.published.ready() {
        true => HttpResponse::Ok().body("ready\n"),
        false => HttpResponse::ServiceUnavailable().body("not ready\n"),
    }
}

async fn metrics() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(telemetry::render())
}

async fn dump(shared: web::Data<front::Shared>, request: HttpRequest) -> HttpResponse {
    if !is_operator(&shared, &request) {
        return key_required();
    }
    match shared.control.send(control::Dump).await {
        Ok(dump) => HttpResponse::Ok().json(dump),
        Err(_) => stopping(),
    }
}

/// The parameters of a release from quarantine.
#[derive(serde::Deserialize)]
struct ReleaseQuery {
    fingerprint: String,
    #[serde(default)]
    dry_run: bool,
}

async fn release(
    shared: web::Data<front::Shared>,
    request: HttpRequest,
    query: web::Query<ReleaseQuery>,
) -> HttpResponse {
    if !is_operator(&shared, &request) {
        return key_required();
    }
    let Ok(fingerprint) = query.fingerprint.parse() else {
        return HttpResponse::BadRequest().body("a fingerprint is 48 hexadecimal digits\n");
    };
    let release = control::Release { request: fingerprint, dry_run: query.dry_run };
    match shared.control.send(release).await {
        Ok(crashes) => HttpResponse::Ok().json(serde_json::json!({ "crashes": crashes })),
        Err(_) => stopping(),
    }
}

/// The parameters of a release of withheld tokens.
#[derive(serde::Deserialize)]
struct ReleaseWithheldQuery {
    budget: String,
    #[serde(default)]
    dry_run: bool,
}

async fn release_withheld(
    shared: web::Data<front::Shared>,
    request: HttpRequest,
    query: web::Query<ReleaseWithheldQuery>,
) -> HttpResponse {
    if !is_operator(&shared, &request) {
        return key_required();
    }
    let ReleaseWithheldQuery { budget, dry_run } = query.into_inner();
    match shared.control.send(control::ReleaseWithheld { budget, dry_run }).await {
        Ok(Some(tokens)) => HttpResponse::Ok().json(serde_json::json!({ "tokens": tokens })),
        Ok(None) => HttpResponse::NotFound().body("no such budget\n"),
        Err(_) => stopping(),
    }
}

fn is_operator(shared: &front::Shared, request: &HttpRequest) -> bool {
    let expected = shared.settings.operators.key_sha256.as_deref().and_then(auth::parse_digest);
    let given = auth::bearer(request.headers()).map(auth::digest);
    matches!((expected, given), (Some(expected), Some(given)) if auth::digests_equal(&expected, &given))
}

fn key_required() -> HttpResponse {
    HttpResponse::Unauthorized().body("an operator's key is needed\n")
}

fn stopping() -> HttpResponse {
    HttpResponse::ServiceUnavailable().body("stopping\n")
}
