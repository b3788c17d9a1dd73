//! Resource usage of a process, read from `/proc`.

/// Milliseconds per clock tick, the unit of CPU time in `/proc`.
const TICK_MS: u64 = 10;

/// Resources that a controller process has used since it started.
#[derive(Clone, Debug)]
pub struct Usage {
    /// Process id.
    pub process: u32,
    /// Whether this controller is the leader.
    pub leads: bool,
    /// CPU time in user mode, in ms.
    pub own_ms: u64,
    /// CPU time in kernel mode, in ms.
    pub kernel_ms: u64,
    /// Voluntary context switches of all its threads; each one ends in a wakeup.
    pub wakeups: u64,
    /// Current resident memory in KB.
    pub memory_kb: u64,
    /// Current number of threads.
    pub threads: u64,
}

impl Usage {
    /// Reads the usage of a process; all counters are zero if it has exited.
    pub fn of(process: u32, leads: bool) -> Self {
        let read = |path: String| std::fs::read_to_string(path).unwrap_or_default();
        let stat = read(format!("/proc/{process}/stat"));
        // The process name, in parentheses, may contain spaces, so fields are counted after it;
        // user and kernel time are fields 14 and 15.
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
