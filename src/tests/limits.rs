use super::*;

/// The shares of threads, sockets and memory stay within the limits for every deployment, even
/// with extreme settings.
#[test]
fn resource_shares_stay_within_the_limits() {
    for (memory_mb, sockets) in
        [(72.0, 1_500), (158.0, 2_169), (188.0, 3_917), (8.0, 64), (9e9, usize::MAX)]
    {
        let shares = ResourceShares::of(memory_mb, sockets);
        let threads = shares.user_threads + shares.worker_threads + shares.command_threads;
        assert!(threads <= THREADS_MAX + 12, "{shares:?}");
        if sockets >= 256 {
            assert!(
                shares.connections + shares.command_threads + RESERVED_SOCKETS <= sockets,
                "{shares:?}"
            );
            let kb = threads as f64 * THREAD_KB + shares.connections as f64 * CONNECTION_KB;
            assert!(kb <= memory_mb * 1024.0 * 0.6, "{shares:?}");
        }
        assert!(shares.connections >= 16 && shares.command_threads >= 4, "{shares:?}");
    }
    // Three quarters of one and a half times the workers of the larger fleet keep their
    // connections open.
    assert!(
        ResourceShares::of(158.0, 2_169).connections as f64 * WORKER_KEEP_ALIVE_SHARE > 1_450.0
    );
}
