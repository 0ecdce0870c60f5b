//! Responses that aren't whole, or aren't in the protocol, whoever sends them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use jackdawtally::forward::connection_pool::{ConnectionPool, Error};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// Size of a body that buffers don't take, so that it is still being sent when the response comes, in bytes.
const LONG_BODY: usize = 32 << 20;
/// Requests for each way in which a server behaves.
const REQUESTS: usize = 20;
/// Size of the response's part.
const PART: usize = 100;

/// What a server does once it has the head of a request.
#[derive(Clone, Copy, Debug)]
enum Step {
    Send(&'static str),
    /// Sends a part of a body.
    SendPart,
    /// Reads some of the request's body.
    Read,
    Wait(Duration),
}

/// A server that resets each connection after these steps.
async fn serve(steps: &'static [Step]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, steps));
        }
    });
    address
}

async fn respond(mut stream: TcpStream, steps: &'static [Step]) {
    let mut buffer = vec![0; 64 << 10];
    let _ = stream.read(&mut buffer).await;
    for step in steps {
        // What fails shows at the client.
        let _ = match step {
            Step::Send(text) => stream.write_all(text.as_bytes()).await,
            Step::SendPart => stream.write_all(&[b'x'; PART]).await,
            Step::Read => stream.read(&mut buffer).await.map(drop),
            Step::Wait(wait) => {
                time::sleep(*wait).await;
                Ok(())
            }
        };
    }
    let _ = stream.set_zero_linger();
}

fn upload(size: usize) -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from(vec![b'u'; size]));
    let request = Request::post("/").header("host", "h").body(body);
    request.expect("a valid request")
}

/// Sends an upload; returns whether the response was taken to be whole.
async fn receive(address: SocketAddr) -> Result<bool, Error> {
    let connections = ConnectionPool::default();
    let mut response = connections.send(address, upload(LONG_BODY), false).await?;
    while response.next_chunk().await?.is_some() {}
    Ok(true)
}

const HEAD: Step = Step::Send("HTTP/1.1 200 OK\r\n\r\n");
const MILLISECOND: Step = Step::Wait(Duration::from_millis(1));
const LONG_WAIT: Step = Step::Wait(Duration::from_millis(30));

/// Checked for MIXED: the reset shows to the one who writes, and who reads then sees the end of the connection, which is
/// the end of a body without a length.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn response_without_a_length_that_is_reset_during_an_upload_is_not_whole() {
    const WAYS: [&[Step]; 5] = [
        &[HEAD, Step::SendPart],
        &[HEAD, Step::SendPart, MILLISECOND],
        &[HEAD, Step::SendPart, LONG_WAIT],
        &[HEAD, Step::SendPart, Step::Read, Step::Read, MILLISECOND],
        &[
            HEAD,
            MILLISECOND,
            Step::SendPart,
            Step::Read,
            LONG_WAIT,
            Step::SendPart,
        ],
    ];
    for steps in WAYS {
        let address = serve(steps).await;
        for _ in 0..REQUESTS {
            let received = receive(address).await;

            assert!(!received.is_ok_and(|whole| whole), "{steps:?}");
        }
    }
}

/// Found for MIXED: a status of 600 and up was taken for an answer.
#[tokio::test]
async fn response_with_an_invalid_status_is_none() {
    for (status, valid) in [
        ("000", false),
        ("099", false),
        ("101", false),
        ("200", true),
        ("599", true),
        ("600", false),
        ("999", false),
    ] {
        let text = format!("HTTP/1.1 {status} S\r\ncontent-length: 0\r\n\r\n");
        let steps: &'static [Step] = vec![Step::Send(text.leak()), LONG_WAIT].leak();
        let address = serve(steps).await;

        let connections = ConnectionPool::default();

        let response = connections.send(address, upload(1), false).await;

        match response {
            Ok(_) => assert!(valid, "{status}"),
            Err(error) => assert!(
                !valid && matches!(error, Error::NoAnswer(_)),
                "{status}: {error}"
            ),
        }
    }
}
