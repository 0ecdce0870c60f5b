//! Latency that one instance adds to a plain service's call, against the same call made directly.
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

/// Calls of each kind.
const CALLS: usize = 2_000;
/// Time between two calls; each second one goes directly.
const PACE: Duration = Duration::from_micros(2_500);

type Http = Client<HttpConnector, Full<Bytes>>;

async fn call(http: Http, url: String) -> Result<f64, String> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(url)
        .header(
            "authorization",
            format!("Bearer {}", deployment::key("ranchers-north")),
        )
        .header("x-class", "kiosk-lookup")
        .header("x-request-id", "latency")
        .body(Full::from(r#"{"note": "tag=1 len=0"}"#))
        .map_err(|e| e.to_string())?;
    let start = Instant::now();
    let response = http.request(request).await.map_err(|e| e.to_string())?;
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
    bench::declare(&bed).await?;
    let through = format!("http://{}/services/registry/post", bed.entries()[0].address);
    let service = bed.servers.iter().find(|e| e.options.model == "registry");
    let direct = format!("http://{}/post", service.ok_or("no service")?.address);
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let http: Http = Client::builder(TokioExecutor::new()).build(connector);
    let mut interval = tokio::time::interval(PACE);
    interval.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut calls = Vec::new();
    for number in 0..CALLS * 2 {
        interval.tick().await;
        let url = if number % 2 == 0 { &direct } else { &through };
        calls.push(tokio::spawn(call(http.clone(), url.clone())));
    }
    let mut times = [Vec::new(), Vec::new()];
    for (number, task) in calls.into_iter().enumerate() {
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
