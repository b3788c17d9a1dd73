//! What the system says that a process has used.

/// Milliseconds of a tick of the system's clock, in which `/proc` counts processor time.
const TICK_MS: u64 = 10;

/// What a controller's process has used since it began.
#[derive(Clone, Debug)]
pub struct Usage {
    /// Process id.
    pub process: u32,
    /// Whether it leads.
    pub leads: bool,
    /// Processor time of its own code, ms.
    pub own_ms: u64,
    /// Processor time of the kernel for it, ms.
    pub kernel_ms: u64,
    /// How often a thread of it went to sleep, and so was woken.
    pub wakeups: u64,
    /// Memory held now, KB.
    pub memory_kb: u64,
    /// Threads now.
    pub threads: u64,
}

impl Usage {
    /// What that process has used; nothing if it is gone.
    pub fn of(process: u32, leads: bool) -> Self {
        let read = |path: String| std::fs::read_to_string(path).unwrap_or_default();
        let stat = read(format!("/proc/{process}/stat"));
        // The name, in parentheses, may hold spaces; the times are fields 14 and 15.
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let ticks = |field: usize| -> u64 {
            let text = after_name.split_whitespace().nth(field - 3);
            text.and_then(|t| t.parse().ok()).unwrap_or(0)
        };
        let status = read(format!("/proc/{process}/status"));
        let threads = std::fs::read_dir(format!("/proc/{process}/task"));
        let statuses = threads.into_iter().flatten().flatten();
        let wakeups = statuses
            .map(|t| read(format!("{}/status", t.path().display())))
            .map(|text| field(&text, "voluntary_ctxt_switches:"))
            .sum();
        Self {
            process,
            leads,
            own_ms: ticks(14) * TICK_MS,
            kernel_ms: ticks(15) * TICK_MS,
            wakeups,
            memory_kb: field(&status, "VmRSS:"),
            threads: field(&status, "Threads:"),
        }
    }
}

fn field(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|l| l.strip_prefix(name));
    line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse().ok()).unwrap_or(0)
}
