//! Tests of log output: it never blocks, its rate is limited, and the events match the operators'
//! documentation.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use jackdawtally::event::{self, EVENTS, Line};
use jackdawtally::logs;

/// Output whose reader is stuck: each write blocks until the test releases it.
struct BlockedOutput(Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct ClosedOutput;

impl Write for ClosedOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Clone, Default)]
struct MemoryOutput(Arc<Mutex<Vec<u8>>>);

impl Write for MemoryOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("the lock is not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn blocked_output_does_not_block_writers_and_drops_are_counted() {
    let (release, blocked): (Sender<()>, _) = channel();
    let (mut writer, counts) = logs::queue(BlockedOutput(blocked), 1_000_000);

    for _ in 0..10_000 {
        writer
            .write_all(b"line\n")
            .expect("a write to the queue never fails");
    }

    let dropped = counts.dropped();
    assert!((10_000 - 2_060..10_000).contains(&dropped), "{dropped}");
    assert_eq!(counts.written(), 0);
    drop(release);
}

#[test]
fn closed_output_does_not_fail_writers() {
    let (mut writer, counts) = logs::queue(ClosedOutput, 1_000_000);

    writer
        .write_all(b"line\n")
        .expect("a write to the queue never fails");
    while counts.dropped() == 0 {
        std::thread::yield_now();
    }
    writer
        .write_all(b"line\n")
        .expect("a write to the queue never fails");
}

/// A burst of ten times the limit must not raise the number of lines written per second above the limit.
#[test]
fn burst_is_written_at_the_limited_rate() {
    let output = MemoryOutput::default();
    let (mut writer, counts) = logs::queue(output.clone(), 100);
    let start = Instant::now();

    for _ in 0..1_000 {
        writer
            .write_all(b"x")
            .expect("a write to the queue never fails");
    }
    while start.elapsed() < Duration::from_millis(1_500) || counts.written() < 100 {
        std::thread::sleep(Duration::from_millis(20));
    }

    let seconds = start.elapsed().as_secs() + 1;
    let written = output.0.lock().expect("the lock is not poisoned").len() as u64;
    assert!(written <= 100 * seconds, "{written} in {seconds} s");
}

#[test]
fn lines_of_successful_requests_are_sampled_with_their_rate() {
    let rates: Vec<u32> = (0..4_000).filter_map(|_| event::sample()).collect();

    assert!(rates.len() < 1_000, "{}", rates.len());
    assert!(rates.contains(&1) && rates.iter().any(|r| *r > 1));
}

#[test]
fn values_with_spaces_are_quoted() {
    let line = Line::new("settings.reload")
        .field("outcome", "refused")
        .field("reason", "a \"b\" c");

    let text = format!("{line:?}");

    assert!(text.contains("outcome=refused reason="), "{text}");
}

#[test]
fn operators_documentation_lists_every_event_and_field() {
    let page = include_str!("../../../docs/OPERATIONS.md");

    for spec in EVENTS {
        let row = page
            .lines()
            .find(|l| l.starts_with(&format!("| `{}` |", spec.name)));
        let row = row
            .unwrap_or_else(|| panic!("the event {} is missing in docs/OPERATIONS.md", spec.name));
        let fields: Vec<String> = spec.fields.iter().map(|f| format!("`{f}`")).collect();
        assert!(row.contains(&fields.join(", ")), "{row}");
        assert!(row.contains(spec.meaning), "{row}");
    }
}
