//! A minimal HTTP/1.1 server for the simulated systems.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use jackdawtally::response::Body;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Accepts connections and serves them with `handler`; never returns. Dropping the future closes all
/// connections. A request body that can't be read is passed on as empty.
pub async fn serve<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Bytes>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        let service = service_fn(move |request: Request<Incoming>| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(handle(handler.as_ref(), request).await) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        connections.spawn(async move {
            let _ = connection.await;
        });
    }
}

async fn handle<F, R>(handler: &F, request: Request<Incoming>) -> Response<Body>
where
    F: Fn(Request<Bytes>) -> R,
    R: Future<Output = Response<Body>>,
{
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes);
    handler(Request::from_parts(head, body.unwrap_or_default())).await
}

/// Returns the value of a query parameter, without percent-decoding; `None` if it is absent.
#[must_use]
pub fn query_parameter(request: &Request<Bytes>, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    let mut values = pairs.filter_map(|p| p.split_once('='));
    values
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
}
