//! Callers' connections over loopback: responses, invalid requests, limits, disconnects and shutdown.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use jackdawtally::http1::{
    self, Disconnected, Handler, Limits, Memory, Phase, Request, RequestError, ResponseWriter,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// Handler whose response depends on the path; by default it echoes the body.
struct EchoHandler {
    handled: AtomicUsize,
    cancelled: Arc<Notify>,
    phase: watch::Sender<Phase>,
    limits: Limits,
    memory: Memory,
}

/// Notifies when the future of a request is dropped.
struct NotifyOnDrop(Arc<Notify>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

impl Handler for EchoHandler {
    fn limits(&self) -> Limits {
        self.limits
    }

    fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    fn memory(&self) -> &Memory {
        &self.memory
    }

    fn wait_closing(&self) -> impl Future<Output = ()> + Send {
        let mut phase = self.phase.subscribe();
        async move {
            let _ = phase.wait_for(|p| *p == Phase::Closing).await;
        }
    }

    async fn handle(
        &self,
        request: Request,
        response: &mut ResponseWriter<'_>,
    ) -> Result<(), Disconnected> {
        self.handled.fetch_add(1, Ordering::SeqCst);
        let headers = HeaderMap::new();
        match request.head.target.as_str() {
            "/hang" => {
                let _guard = NotifyOnDrop(Arc::clone(&self.cancelled));
                std::future::pending().await
            }
            "/truncated" => {
                response
                    .start_chunked(StatusCode::OK, &headers, b"half")
                    .await?;
                Err(Disconnected)
            }
            "/chunks" => {
                response
                    .start_chunked(StatusCode::OK, &headers, b"one")
                    .await?;
                response.send_chunk(b"two").await?;
                response.finish().await
            }
            _ => response.send(StatusCode::OK, &headers, &request.body).await,
        }
    }

    async fn reject(
        &self,
        error: RequestError,
        response: &mut ResponseWriter<'_>,
    ) -> Result<(), Disconnected> {
        let status = match error {
            RequestError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::Invalid(_) => StatusCode::BAD_REQUEST,
        };
        response.send(status, &HeaderMap::new(), b"").await
    }

    async fn reject_no_memory(
        &self,
        response: &mut ResponseWriter<'_>,
    ) -> Result<(), Disconnected> {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        response.send(status, &HeaderMap::new(), b"").await
    }

    async fn reject_timeout(&self, response: &mut ResponseWriter<'_>) -> Result<(), Disconnected> {
        let status = StatusCode::REQUEST_TIMEOUT;
        response.send(status, &HeaderMap::new(), b"").await
    }
}

fn limits() -> Limits {
    Limits {
        head_bytes: 1_024,
        body_bytes: 64,
        head_timeout: Duration::from_millis(200),
        body_timeout: Duration::from_millis(200),
        idle_timeout: Duration::from_secs(20),
    }
}

async fn start(limits: Limits) -> (Arc<EchoHandler>, TcpStream) {
    let handler = Arc::new(EchoHandler {
        handled: AtomicUsize::new(0),
        cancelled: Arc::new(Notify::new()),
        phase: watch::Sender::new(Phase::Serving),
        limits,
        memory: Memory::new(96 << 10),
    });
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind to a free port");
    let address = listener.local_addr().expect("address of the listener");
    let served = Arc::clone(&handler);
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("accept a connection");
        http1::serve(stream, served.as_ref()).await;
    });
    let stream = TcpStream::connect(address).await.expect("connected");
    (handler, stream)
}

/// Sends `text` and reads until the server closes the connection.
async fn exchange(text: &str) -> (Arc<EchoHandler>, String) {
    let (handler, mut stream) = start(limits()).await;
    stream.write_all(text.as_bytes()).await.expect("sent");
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received).await;
    (handler, String::from_utf8(received).expect("text"))
}

fn post(path: &str, fields: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: h\r\n{fields}\r\n{body}")
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let first = post("/a", "content-length: 3\r\n", "abc");
    let second = post(
        "/b",
        "transfer-encoding: chunked\r\nconnection: close\r\n",
        "2\r\nde\r\n1;x=y\r\nf\r\n0\r\n\r\n",
    );

    let (handler, received) = exchange(&(first + &second)).await;

    assert_eq!(handler.handled.load(Ordering::SeqCst), 2);
    assert!(received.contains("\r\n\r\nabc"), "{received}");
    assert!(received.ends_with("\r\n\r\ndef"), "{received}");
}

#[tokio::test]
async fn request_smuggled_with_both_framings_is_not_handled() {
    let smuggled = "0\r\n\r\nGET /hidden HTTP/1.1\r\nhost: h\r\n\r\n";
    let fields = format!(
        "content-length: {}\r\ntransfer-encoding: chunked\r\n",
        smuggled.len()
    );

    let (handler, received) = exchange(&post("/a", &fields, smuggled)).await;

    assert_eq!(handler.handled.load(Ordering::SeqCst), 0);
    assert!(received.starts_with("HTTP/1.1 400 "), "{received}");
}

#[tokio::test]
async fn invalid_chunks_are_rejected() {
    let cases = [
        "x\r\n",
        "-1\r\n",
        "2\r\nabc\r\n",
        "1\nab\r\n",
        "fffffffff\r\n",
    ];

    for body in cases {
        let (handler, received) =
            exchange(&post("/a", "transfer-encoding: chunked\r\n", body)).await;

        assert_eq!(handler.handled.load(Ordering::SeqCst), 0, "{body:?}");
        assert!(
            received.starts_with("HTTP/1.1 400 "),
            "{body:?}: {received}"
        );
    }
}

#[tokio::test]
async fn oversized_bodies_are_rejected_before_they_are_received() {
    let chunks = format!("40\r\n{}\r\n1\r\nx\r\n", "x".repeat(64));
    let cases = [
        post("/a", "content-length: 65\r\n", ""),
        post("/a", "transfer-encoding: chunked\r\n", &chunks),
    ];

    for text in cases {
        let (_, received) = exchange(&text).await;

        assert!(received.starts_with("HTTP/1.1 413 "), "{received}");
    }
}

/// Large bodies of many callers could together exhaust the memory. A body that exceeds the free body memory
/// is rejected, and the memory reserved for a body is released after the response.
#[tokio::test]
async fn body_that_exceeds_the_free_memory_is_rejected() {
    let large = Limits {
        body_bytes: 1 << 20,
        ..limits()
    };
    let chunks = format!("{:x}\r\n{}\r\n0\r\n\r\n", 100_000, "x".repeat(100_000));
    let cases = [
        (
            post("/a", "content-length: 100000\r\n", &"x".repeat(100_000)),
            "503",
        ),
        (post("/a", "transfer-encoding: chunked\r\n", &chunks), "503"),
        (
            post(
                "/a",
                "content-length: 50000\r\nconnection: close\r\n",
                &"x".repeat(50_000),
            ),
            "200",
        ),
    ];

    for (text, status) in cases {
        let (handler, mut stream) = start(large).await;
        // The server may close the connection before a rejected body is sent completely.
        let _ = stream.write_all(text.as_bytes()).await;
        let mut received = vec![0; 12];
        stream
            .read_exact(&mut received)
            .await
            .expect("a status line");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;

        assert_eq!(received, format!("HTTP/1.1 {status}").as_bytes());
        assert_eq!(handler.memory.held(), 0);
    }
}

#[tokio::test]
async fn slow_heads_and_bodies_are_rejected_with_408() {
    let cases = [
        "GET / HT",
        "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nab",
    ];

    for text in cases {
        let (handler, received) = exchange(text).await;

        assert_eq!(handler.handled.load(Ordering::SeqCst), 0);
        assert!(received.starts_with("HTTP/1.1 408 "), "{received}");
    }
}

#[tokio::test]
async fn disconnect_cancels_the_request() {
    let (handler, mut stream) = start(limits()).await;
    let request = post("/hang", "", "");
    stream.write_all(request.as_bytes()).await.expect("sent");
    while handler.handled.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    drop(stream);

    handler.cancelled.notified().await;
}

#[tokio::test]
async fn truncated_response_lacks_the_last_chunk() {
    let (_, received) = exchange(&post("/truncated", "", "")).await;

    assert!(received.contains("4\r\nhalf\r\n"), "{received}");
    assert!(!received.contains("0\r\n\r\n"), "{received}");
}

#[tokio::test]
async fn chunked_response_has_one_chunk_for_each_write() {
    let (_, received) = exchange(&post("/chunks", "connection: close\r\n", "")).await;

    assert!(
        received.ends_with("3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"),
        "{received}"
    );
}

#[tokio::test]
async fn draining_process_closes_connections_after_the_next_response() {
    let (handler, mut stream) = start(limits()).await;
    handler.phase.send_replace(Phase::Draining);

    let request = post("/a", "content-length: 1\r\n", "x");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut received = String::new();
    stream.read_to_string(&mut received).await.expect("text");

    assert!(received.contains("connection: close\r\n"), "{received}");
}

#[tokio::test]
async fn closing_process_closes_idle_connections() {
    let (handler, mut stream) = start(limits()).await;

    handler.phase.send_replace(Phase::Closing);
    let mut received = String::new();
    stream.read_to_string(&mut received).await.expect("ended");

    assert_eq!(received, "");
}
