//! Log output through a bounded queue, so that a slow or blocked reader of standard output never blocks the
//! process. Lines that don't fit into the queue are dropped and counted.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Capacity of the queue.
const QUEUE_LINES: usize = 2_048;
/// Maximum number of lines written per second.
pub const LINES_PER_S: u32 = 500;

static INSTALLED: OnceLock<Arc<LineCounts>> = OnceLock::new();

/// Numbers of lines written and dropped since the start.
#[derive(Debug, Default)]
pub struct LineCounts {
    written: AtomicU64,
    dropped: AtomicU64,
}

impl LineCounts {
    /// Number of lines written to the output.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Number of lines dropped because the queue was full or the output failed.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Sending end of the queue. Each call of `write` queues one line and never blocks or fails.
#[derive(Debug)]
pub struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Creates a queue and a thread that writes its lines to `output`, at most `per_s` per second.
pub fn queue(output: impl Write + Send + 'static, per_s: u32) -> (QueueWriter, Arc<LineCounts>) {
    let (lines, receiver) = sync_channel(QUEUE_LINES);
    let counts = Arc::new(LineCounts::default());
    let thread_counts = Arc::clone(&counts);
    thread::spawn(move || write_lines(&receiver, output, per_s, &thread_counts));
    let writer = QueueWriter {
        lines,
        counts: Arc::clone(&counts),
    };
    (writer, counts)
}

fn write_lines(lines: &Receiver<Vec<u8>>, mut output: impl Write, per_s: u32, counts: &LineCounts) {
    let second = Duration::from_secs(1);
    let mut window_start = Instant::now();
    let mut remaining = per_s;
    while let Ok(line) = lines.recv() {
        if remaining == 0 {
            thread::sleep(second.saturating_sub(window_start.elapsed()));
        }
        if window_start.elapsed() >= second {
            window_start = Instant::now();
            remaining = per_s;
        }
        remaining -= 1;
        match output.write_all(&line).and_then(|()| output.flush()) {
            Ok(()) => counts.written.fetch_add(1, Ordering::Relaxed),
            Err(_) => counts.dropped.fetch_add(1, Ordering::Relaxed),
        };
    }
}

/// Installs the process's logger, which writes lines with the name of the instance to standard output through
/// a queue. The environment variable `RUST_LOG` sets the level; the default is `info`.
pub fn install(instance: &str) {
    let instance = instance.to_owned();
    let (writer, counts) = queue(io::stdout(), LINES_PER_S);
    if INSTALLED.set(counts).is_err() {
        return;
    }
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .format(move |out, record| {
            let time = out.timestamp_millis();
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(
                out,
                "time={time} level={level} instance={instance} {}",
                record.args()
            )
        })
        .init();
}

/// Number of log lines that the process has dropped; 0 before [`install`] is called.
#[must_use]
pub fn dropped() -> u64 {
    INSTALLED.get().map_or(0, |counts| counts.dropped())
}
