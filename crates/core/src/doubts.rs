//! Starts whose fate is unknown: a direct command that carried them went unanswered, and may
//! yet be carried out.

use crate::consts::DOUBT_LOG_S;
use crate::event::Secs;
use crate::leader::Leader;
use marblebarrow_proto::ids::{JobId, MachineId, TaskId};

impl Leader {
    /// Seconds until the tasks of a job that is learnt to be cancelled now must be gone,
    /// counted from when the first user may have been told.
    fn cancellation_left(&self, now: Secs) -> Secs {
        self.knowledge.known_at + self.facts.cancel_s - now
    }

    /// Logs a start that became doubtful.
    pub(crate) fn note_doubtful_start(
        &mut self,
        now: Secs,
        task: &TaskId,
        machine: &MachineId,
        session: u64,
    ) {
        let term = self.term.0;
        self.log.info(now, || {
            format!(
                "event=start_in_doubt task={task} machine={machine} session={session} term={term}"
            )
        });
    }

    /// Logs a cancellation that leaves starts in doubt.
    pub(crate) fn note_cancelled(&mut self, now: Secs, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let starts = job.live.values().filter(|live| live.doubt).count();
        if starts == 0 {
            return;
        }
        let left = self.cancellation_left(now);
        self.log.info(now, || {
            format!("event=cancelled_in_doubt job={id} starts={starts} left_s={left:.1}")
        });
    }

    /// Logs the counters of starts in doubt.
    pub(crate) fn log_doubts(&mut self, now: Secs) {
        if now < self.next_doubt_log {
            return;
        }
        self.next_doubt_log = now + DOUBT_LOG_S;
        let in_doubt = || self.jobs.values().flat_map(|job| job.live.values()).filter(|l| l.doubt);
        let starts = in_doubt().count();
        let oldest = in_doubt().map(|live| now - live.since).fold(0.0, f64::max);
        let cancelled = self.jobs.values().filter(|job| job.cancelled);
        let open = cancelled.filter(|job| job.live.values().any(|live| live.doubt)).count();
        let (term, suppressed) = (self.term.0, self.log.suppressed());
        self.log.info(now, || {
            format!(
                "event=doubts starts={starts} oldest_s={oldest:.1} cancelled_jobs={open} \
                 suppressed_lines={suppressed} term={term}"
            )
        });
    }
}
