//! Calls that go on when their client leaves.

use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::task;
use tokio_util::sync;

/// Runs a call in the task that awaits it. If it is dropped before the call has ended, the client has left: the call goes on
/// in a task of its own.
pub struct Outliving<F: Future + 'static> {
    call: Option<Pin<Box<F>>>,
    client_left: sync::CancellationToken,
}

impl<F: Future + 'static> Outliving<F> {
    /// Wraps a call, which is told by `client_left` that its client has left.
    pub fn new(call: F, client_left: sync::CancellationToken) -> Self {
        Self { call: Some(Box::pin(call)), client_left }
    }
}

impl<F: Future + 'static> Future for Outliving<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        let Some(call) = &mut self.call else { return Poll::Pending };
        let output = std::task::ready!(call.as_mut().poll(context));
        self.call = None;
        Poll::Ready(output)
    }
}

impl<F: Future + 'static> Drop for Outliving<F> {
    fn drop(&mut self) {
        let Some(call) = self.call.take() else { return };
        self.client_left.cancel();
        task::spawn_local(async move {
            // Nobody reads the response.
            let _ = call.await;
        });
    }
}
