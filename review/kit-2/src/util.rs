//! Time, random numbers, signals, the record file.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Option<File>> = Mutex::new(None);

/// Seconds since the start of this program.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn sleep(s: f64) {
    if s > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(s));
    }
}

/// Opens the record file.
pub fn open_record(path: &str) {
    *RECORD.lock().unwrap() = File::create(path).ok();
    now();
}

/// Writes a line to the record, with the time.
pub fn note(line: &str) {
    let at = now();
    let mut file = RECORD.lock().unwrap();
    if let Some(f) = file.as_mut() {
        let _ = writeln!(f, "{at:8.3} {line}");
        let _ = f.flush();
    }
}

/// A small generator of random numbers (xorshift).
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        let mut r = Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        (0..8).for_each(|_| {
            r.next();
        });
        r
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn between(&mut self, a: f64, b: f64) -> f64 {
        a + (b - a) * self.unit()
    }
    pub fn below(&mut self, n: usize) -> usize {
        (self.next() % n.max(1) as u64) as usize
    }
    pub fn chance(&mut self, p: f64) -> bool {
        self.unit() < p
    }
}
