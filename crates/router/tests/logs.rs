//! Log lines: bounded, never blocking, and as the operators' page says.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use jackdawtally::event::{self, EVENTS, Line};
use jackdawtally::logs;

/// An output that nobody reads: each write waits until it is let go.
struct Full(Receiver<()>);

impl Write for Full {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Closed;

impl Write for Closed {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn output_that_nobody_reads_holds_nothing_up_and_drops_are_counted() {
    let (release, full): (Sender<()>, _) = channel();
    let (mut writer, counts) = logs::queue(Full(full), 1_000_000);

    for _ in 0..10_000 {
        writer.write_all(b"line\n").expect("never fails");
    }

    let dropped = counts.dropped();
    assert!((10_000 - 2_060..10_000).contains(&dropped), "{dropped}");
    assert_eq!(counts.written(), 0);
    drop(release);
}

#[test]
fn closed_output_ends_nothing() {
    let (mut writer, counts) = logs::queue(Closed, 1_000_000);

    writer.write_all(b"line\n").expect("never fails");
    while counts.dropped() == 0 {
        std::thread::yield_now();
    }
    writer.write_all(b"line\n").expect("never fails");
}

/// A burst of ten times the bound: what is written in any second stays within it.
#[test]
fn flood_writes_no_more_than_the_bound() {
    let kept = Kept::default();
    let (mut writer, counts) = logs::queue(kept.clone(), 100);
    let start = Instant::now();

    for _ in 0..1_000 {
        writer.write_all(b"x").expect("never fails");
    }
    while start.elapsed() < Duration::from_millis(1_500) || counts.written() < 100 {
        std::thread::sleep(Duration::from_millis(20));
    }

    let seconds = start.elapsed().as_secs() + 1;
    let written = kept.0.lock().expect("not poisoned").len() as u64;
    assert!(written <= 100 * seconds, "{written} in {seconds} s");
}

#[test]
fn lines_on_requests_that_went_well_are_sampled_and_say_so() {
    let rates: Vec<u32> = (0..4_000).filter_map(|_| event::sample()).collect();

    assert!(rates.len() < 1_000, "{}", rates.len());
    assert!(rates.contains(&1) && rates.iter().any(|r| *r > 1));
}

#[test]
fn values_with_spaces_are_put_in_quotes() {
    let line = Line::new("settings.reload")
        .field("outcome", "refused")
        .field("reason", "a \"b\" c");

    let text = format!("{line:?}");

    assert!(text.contains("outcome=refused reason="), "{text}");
}

#[test]
fn operators_page_lists_every_event_and_field() {
    let page = include_str!("../../../docs/OPERATIONS.md");

    for spec in EVENTS {
        let row = page
            .lines()
            .find(|l| l.starts_with(&format!("| `{}` |", spec.name)));
        let row = row.unwrap_or_else(|| panic!("{} isn't on the page", spec.name));
        let fields: Vec<String> = spec.fields.iter().map(|f| format!("`{f}`")).collect();
        assert!(row.contains(&fields.join(", ")), "{row}");
        assert!(row.contains(spec.meaning), "{row}");
    }
}
