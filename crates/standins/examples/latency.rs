//! Measures the latency that an instance adds to a request to a generic service, compared with the
//! same request sent directly to the backend server.
//!
//! `cargo run --release -p jackdawtally-standins --example latency`

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use jackdawtally_standins::bench;
use jackdawtally_standins::deployment::{self, Deployment};
use jackdawtally_standins::report;
use jackdawtally_standins::test_bed::{Policy, TestBed};
use tokio::time::{Instant, MissedTickBehavior};

/// Number of requests through the instance, and of direct requests.
const REQUESTS: usize = 2_000;
/// Interval between two requests, which alternate between direct and through the instance.
const REQUEST_INTERVAL: Duration = Duration::from_micros(2_500);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

async fn send_timed(client: HttpClient, url: String) -> Result<f64, String> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(url)
        .header(
            "authorization",
            format!("Bearer {}", deployment::api_key("ranchers-north")),
        )
        .header("x-class", "kiosk-lookup")
        .header("x-request-id", "latency")
        .body(Full::from(r#"{"note": "tag=1 len=0"}"#))
        .map_err(|e| e.to_string())?;
    let start = Instant::now();
    let response = client.request(request).await.map_err(|e| e.to_string())?;
    let status = response.status();
    response
        .into_body()
        .collect()
        .await
        .map_err(|e| e.to_string())?;
    if status.is_success() {
        Ok(start.elapsed().as_secs_f64() * 1_000.0)
    } else {
        Err(status.to_string())
    }
}

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<(), String> {
    let bed = TestBed::start(Deployment::named("fair")?, Policy::Jackdawtally, 1, 1).await?;
    bench::apply_declarations(&bed).await?;
    let through = format!(
        "http://{}/services/registry/post",
        bed.caller_addresses()[0].address
    );
    let service = bed.servers.iter().find(|e| e.options.model == "registry");
    let direct = format!(
        "http://{}/post",
        service.ok_or("the service registry has no server")?.address
    );
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: HttpClient = Client::builder(TokioExecutor::new()).build(connector);
    let mut interval = tokio::time::interval(REQUEST_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut requests = Vec::new();
    for number in 0..REQUESTS * 2 {
        interval.tick().await;
        let url = if number % 2 == 0 { &direct } else { &through };
        requests.push(tokio::spawn(send_timed(client.clone(), url.clone())));
    }
    let mut times = [Vec::new(), Vec::new()];
    for (number, task) in requests.into_iter().enumerate() {
        times[number % 2].push(task.await.map_err(|e| e.to_string())??);
    }
    bed.stop();
    let [direct, through] = times;
    for share in [0.50, 0.99] {
        let (a, b) = (
            report::percentile(direct.clone(), share),
            report::percentile(through.clone(), share),
        );
        println!(
            "p{:.0}: direct {a:.3} ms, through {b:.3} ms, added {:.3} ms",
            share * 100.0,
            b - a
        );
    }
    Ok(())
}
