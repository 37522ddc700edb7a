//! An actix-web server on a thread of its own, which is stopped and joined when dropped.

use actix_web::http::header::HeaderName;
use actix_web::{App, HttpServer, body, dev, middleware, web};
use std::sync::mpsc;
use std::{io, net, thread};

const ATTEMPT_ID: &str = "x-attempt-id";

/// A server that runs until it is dropped.
#[derive(Debug)]
pub struct Server {
    /// The address on which the server listens.
    pub address: net::SocketAddr,
    handle: Option<dev::ServerHandle>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Starts a server with the given routes; with port 0 it listens on any free port.
    pub fn start<F>(address: net::SocketAddr, routes: F) -> io::Result<Self>
    where
        F: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
    {
        let (sender, receiver) = mpsc::channel();
        let thread = thread::spawn(move || {
            let system = actix_web::rt::System::new();
            system.block_on(async move {
                let server = HttpServer::new(move || {
                    let routes = routes.clone();
                    App::new()
                        .app_data(web::PayloadConfig::new(64 << 20))
                        .app_data(web::JsonConfig::default().limit(64 << 20))
                        .configure(|config| routes(config))
                        .wrap(middleware::from_fn(name_call))
                })
                .workers(2)
                .tcp_nodelay(true)
                .shutdown_timeout(0)
                .disable_signals()
                .bind(address);
                let bound = server.map(|server| {
                    let address = server.addrs()[0];
                    let running = server.run();
                    (address, running.handle(), running)
                });
                match bound {
                    Ok((address, handle, running)) => {
                        let _ = sender.send(Ok((address, handle)));
                        let _ = running.await;
                    }
                    Err(error) => {
                        let _ = sender.send(Err(error));
                    }
                }
            });
        });
        let (address, handle) = receiver.recv().map_err(io::Error::other)??;
        Ok(Self { address, handle: Some(handle), thread: Some(thread) })
    }
}

/// Copies the id of an attempt from a call to its answer.
async fn name_call<B: body::MessageBody>(
    request: dev::ServiceRequest,
    next: middleware::Next<B>,
) -> Result<dev::ServiceResponse<B>, actix_web::Error> {
    let id = request.headers().get(ATTEMPT_ID).cloned();
    let mut response = next.call(request).await?;
    if let Some(id) = id {
        response.headers_mut().insert(HeaderName::from_static(ATTEMPT_ID), id);
    }
    Ok(response)
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(handle) = self.handle.take() {
            // The stop command is sent at once; its future only waits for the end.
            drop(handle.stop(false));
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
