use super::*;

/// Every deployment's share of threads, sockets and memory holds its parts,
/// however odd the settings.
#[test]
fn what_is_shared_out_is_there() {
    for (memory_mb, sockets) in
        [(72.0, 1_500), (158.0, 2_169), (188.0, 3_917), (8.0, 64), (9e9, usize::MAX)]
    {
        let r = ResourceShares::of(memory_mb, sockets);
        let threads = r.user_threads + r.worker_threads + r.command_threads;
        assert!(threads <= THREADS_MAX + 12, "{r:?}");
        if sockets >= 256 {
            assert!(r.connections + r.command_threads + RESERVED_SOCKETS <= sockets, "{r:?}");
            let kb = threads as f64 * THREAD_KB + r.connections as f64 * CONNECTION_KB;
            assert!(kb <= memory_mb * 1024.0 * 0.6, "{r:?}");
        }
        assert!(r.connections >= 16 && r.command_threads >= 4, "{r:?}");
    }
    // Three quarters of half as many workers again as the larger fleet has
    // keep their connections.
    assert!(ResourceShares::of(158.0, 2_169).connections as f64 * FULL_SHARE > 1_450.0);
}
