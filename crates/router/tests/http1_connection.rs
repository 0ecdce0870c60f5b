//! Callers' connections over loopback: what is answered, and what a broken or leaving caller causes.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use jackdawtally::http1::{
    self, Disconnected, Handler, Limits, Phase, Request, RequestError, ResponseWriter,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch};

/// Answers by path; counts what it was asked and what was dropped unanswered.
struct Echo {
    asked: AtomicUsize,
    dropped: Arc<Notify>,
    phase: watch::Sender<Phase>,
    limits: Limits,
    room: Semaphore,
}

/// Tells when a request's future is dropped.
struct OnDrop(Arc<Notify>);

impl Drop for OnDrop {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

impl Handler for Echo {
    fn limits(&self) -> Limits {
        self.limits
    }

    fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    fn body_memory(&self) -> &Semaphore {
        &self.room
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
        reply: &mut ResponseWriter<'_>,
    ) -> Result<(), Disconnected> {
        self.asked.fetch_add(1, Ordering::SeqCst);
        let headers = HeaderMap::new();
        match request.head.target.as_str() {
            "/hang" => {
                let _guard = OnDrop(Arc::clone(&self.dropped));
                std::future::pending().await
            }
            "/cut" => {
                reply
                    .start_chunked(StatusCode::OK, &headers, b"half")
                    .await?;
                Err(Disconnected)
            }
            "/pieces" => {
                reply
                    .start_chunked(StatusCode::OK, &headers, b"one")
                    .await?;
                reply.send_chunk(b"two").await?;
                reply.finish().await
            }
            _ => reply.send(StatusCode::OK, &headers, &request.body).await,
        }
    }

    async fn reject(
        &self,
        reason: RequestError,
        reply: &mut ResponseWriter<'_>,
    ) -> Result<(), Disconnected> {
        let status = match reason {
            RequestError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::Invalid(_) => StatusCode::BAD_REQUEST,
        };
        reply.send(status, &HeaderMap::new(), b"").await
    }

    async fn reject_no_memory(&self, reply: &mut ResponseWriter<'_>) -> Result<(), Disconnected> {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        reply.send(status, &HeaderMap::new(), b"").await
    }

    async fn reject_timeout(&self, reply: &mut ResponseWriter<'_>) -> Result<(), Disconnected> {
        let status = StatusCode::REQUEST_TIMEOUT;
        reply.send(status, &HeaderMap::new(), b"").await
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

async fn start(limits: Limits) -> (Arc<Echo>, TcpStream) {
    let echo = Arc::new(Echo {
        asked: AtomicUsize::new(0),
        dropped: Arc::new(Notify::new()),
        phase: watch::Sender::new(Phase::Serving),
        limits,
        room: Semaphore::new(64),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::clone(&echo);
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        http1::serve(stream, handler.as_ref()).await;
    });
    let stream = TcpStream::connect(address).await.expect("connected");
    (echo, stream)
}

/// Sends `text` and reads all that comes until the connection ends.
async fn talk(text: &str) -> (Arc<Echo>, String) {
    let (echo, mut stream) = start(limits()).await;
    stream.write_all(text.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    (echo, String::from_utf8(answer).expect("text"))
}

fn post(path: &str, fields: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: h\r\n{fields}\r\n{body}")
}

#[tokio::test]
async fn requests_in_turn_are_answered_in_turn() {
    let first = post("/a", "content-length: 3\r\n", "abc");
    let second = post(
        "/b",
        "transfer-encoding: chunked\r\nconnection: close\r\n",
        "2\r\nde\r\n1;x=y\r\nf\r\n0\r\n\r\n",
    );

    let (echo, answer) = talk(&(first + &second)).await;

    assert_eq!(echo.asked.load(Ordering::SeqCst), 2);
    assert!(answer.contains("\r\n\r\nabc"), "{answer}");
    assert!(answer.ends_with("\r\n\r\ndef"), "{answer}");
}

#[tokio::test]
async fn request_hidden_behind_two_framings_is_not_run() {
    let hidden = "0\r\n\r\nGET /hidden HTTP/1.1\r\nhost: h\r\n\r\n";
    let fields = format!(
        "content-length: {}\r\ntransfer-encoding: chunked\r\n",
        hidden.len()
    );

    let (echo, answer) = talk(&post("/a", &fields, hidden)).await;

    assert_eq!(echo.asked.load(Ordering::SeqCst), 0);
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
}

#[tokio::test]
async fn broken_chunks_are_refused() {
    let cases = [
        "x\r\n",
        "-1\r\n",
        "2\r\nabc\r\n",
        "1\nab\r\n",
        "fffffffff\r\n",
    ];

    for body in cases {
        let (echo, answer) = talk(&post("/a", "transfer-encoding: chunked\r\n", body)).await;

        assert_eq!(echo.asked.load(Ordering::SeqCst), 0, "{body:?}");
        assert!(answer.starts_with("HTTP/1.1 400 "), "{body:?}: {answer}");
    }
}

#[tokio::test]
async fn large_bodies_are_refused_before_they_are_read() {
    let chunks = format!("40\r\n{}\r\n1\r\nx\r\n", "x".repeat(64));
    let cases = [
        post("/a", "content-length: 65\r\n", ""),
        post("/a", "transfer-encoding: chunked\r\n", &chunks),
    ];

    for text in cases {
        let (_, answer) = talk(&text).await;

        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    }
}

/// Many callers send large bodies at once: what doesn't fit into the room is refused, and the room comes
/// back with the answer.
#[tokio::test]
async fn body_that_finds_no_room_is_refused() {
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
        let (echo, mut stream) = start(large).await;
        // The rest of a refused body may find the connection ended.
        let _ = stream.write_all(text.as_bytes()).await;
        let mut answer = vec![0; 12];
        stream.read_exact(&mut answer).await.expect("an answer");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;

        assert_eq!(answer, format!("HTTP/1.1 {status}").as_bytes());
        assert_eq!(echo.room.available_permits(), 64);
    }
}

#[tokio::test]
async fn slow_heads_and_bodies_are_told_so() {
    let cases = [
        "GET / HT",
        "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nab",
    ];

    for text in cases {
        let (echo, answer) = talk(text).await;

        assert_eq!(echo.asked.load(Ordering::SeqCst), 0);
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    }
}

#[tokio::test]
async fn caller_that_leaves_drops_its_request() {
    let (echo, mut stream) = start(limits()).await;
    let request = post("/hang", "", "");
    stream.write_all(request.as_bytes()).await.expect("sent");
    while echo.asked.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    drop(stream);

    echo.dropped.notified().await;
}

#[tokio::test]
async fn answer_that_ends_early_does_not_look_complete() {
    let (_, answer) = talk(&post("/cut", "", "")).await;

    assert!(answer.contains("4\r\nhalf\r\n"), "{answer}");
    assert!(!answer.contains("0\r\n\r\n"), "{answer}");
}

#[tokio::test]
async fn pieces_come_in_chunks() {
    let (_, answer) = talk(&post("/pieces", "connection: close\r\n", "")).await;

    assert!(
        answer.ends_with("3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"),
        "{answer}"
    );
}

#[tokio::test]
async fn leaving_process_ends_each_connection_with_its_next_answer() {
    let (echo, mut stream) = start(limits()).await;
    echo.phase.send_replace(Phase::Draining);

    let request = post("/a", "content-length: 1\r\n", "x");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("text");

    assert!(answer.contains("connection: close\r\n"), "{answer}");
}

#[tokio::test]
async fn closing_process_ends_idle_connections() {
    let (echo, mut stream) = start(limits()).await;

    echo.phase.send_replace(Phase::Closing);
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("ended");

    assert_eq!(answer, "");
}
