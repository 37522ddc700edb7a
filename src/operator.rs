//! The address for operators: status, dump and metrics, behind a key of their own.

use crate::{auth, control, front, telemetry};
use actix_web::{HttpRequest, HttpResponse, web};

/// Registers the routes.
pub fn routes(config: &mut web::ServiceConfig, shared: front::Shared) {
    config
        .app_data(web::Data::new(shared))
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics))
        .route("/dump", web::get().to(dump));
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
    let wanted = shared.settings.operators.key_sha256.as_deref().and_then(auth::parse_digest);
    let given = auth::bearer(request.headers()).map(auth::digest);
    let allowed = matches!((wanted, given), (Some(one), Some(other)) if auth::same(&one, &other));
    if !allowed {
        return HttpResponse::Unauthorized().body("an operator's key is needed\n");
    }
    match shared.control.send(control::Dump).await {
        Ok(dump) => HttpResponse::Ok().json(dump),
        Err(_) => HttpResponse::ServiceUnavailable().body("stopping\n"),
    }
}
