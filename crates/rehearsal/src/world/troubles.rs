//! What goes wrong, and how it begins.

use super::direct::DIRECT_TIMEOUT_STEPS;
use super::*;

/// Something that goes wrong; lengths in steps.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// A controller ends, and is started again after so long.
    Crash(usize, u32),
    /// All controllers end, and are started again after so long.
    CrashAll(u32),
    /// Meant for whichever controller leads by then.
    AtLeader(Box<Trouble>),
    /// A controller stands still while its clocks run on; then it goes on with
    /// all that waited for it.
    Freeze(usize, u32),
    /// The state service is down for all.
    StoreDown(u32),
    /// The state service refuses one controller.
    StoreRefuses(usize, u32),
    /// No worker reaches a controller, nor it them.
    WorkersCut(usize, u32),
    /// A machine is cut off; what is sent to it comes when the cut ends.
    MachineCut(usize, u32),
    /// All machines of a zone are cut off.
    ZoneCut(&'static str, u32),
    /// Its heartbeats arrive; answers and commands don't reach it.
    MachineDeaf(usize, u32),
    /// A machine is gone, with all on it.
    MachineDies(usize),
    /// Its worker is back at once, empty and counting from the beginning.
    MachineReborn(usize),
    /// The cloud answers nobody.
    CloudDown(u32),
    /// Neither store nor peers, but workers and users.
    Isolated(usize, u32),
    /// Copies of all heartbeats come again, up to so much later.
    LateCopies(u32),
    /// The state service takes up to two seconds for each answer.
    StoreSlow(u32),
    /// Controllers don't reach each other.
    PeersRefuse(u32),
    /// A third of all transactions get no answer, and take effect 2 to 12 s later,
    /// after newer ones.
    LateWrites(u32),
    /// Machines rented take so many tenths of the usual boot, and every third of them
    /// never comes up if it is more than that.
    Boots(u32, u32),
    /// Users ask eight times as often.
    PollStorm(u32),
    /// Tasks on it take six times as long.
    MachineSlow(usize, u32),
    /// A controller's watch brings nothing, while the store serves it otherwise.
    WatchStuck(usize, u32),
    /// Users call off so many jobs that run, at once.
    CancelNow(usize),
    /// A third of all transactions are carried out at once, and only the answer is lost.
    AnswersLost(u32),
    /// Transactions are carried out at once, and their answers come up to a second later,
    /// after the watch.
    AnswersLate(u32),
    /// Copies of a third of all heartbeats are kept, and reach every controller as soon
    /// as another leads.
    KeptHeartbeats(u32),
    /// Users ask every controller at once, and repeat what they asked, right after a job
    /// was accepted, ended or cancelled.
    CloseLooks(u32),
    /// Half of the jobs that end are called off at that moment.
    CancelAtEnd(u32),
    /// It reaches no controller; direct orders reach it.
    MachineMute(usize, u32),
    /// None of the machines reaches a controller; direct orders reach them.
    AllMute(u32),
    /// A zone's machines reach this controller alone, and it reaches them alone.
    ZoneApart(&'static str, usize, u32),
    /// It does nothing at all, and then goes on with what waited for it.
    MachineHangs(usize, u32),
    /// Single direct commands are held up on their way, and answers to others, while all
    /// else to and from their machines flows.
    HeldCommands(Held, u32),
}

/// How direct commands are held up.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// Of so many commands one is held up; and of the others' answers as many.
    pub one_in: u32,
    /// At least so many steps ...
    pub least: u32,
    /// ... and fewer than so many.
    pub most: u32,
    /// Whether users call off jobs whose start is held, within two seconds of its sending.
    pub called_off: bool,
}

impl Trouble {
    /// How long it lasts.
    pub fn steps(&self) -> u32 {
        match self {
            Self::Crash(_, s)
            | Self::CrashAll(s)
            | Self::StoreDown(s)
            | Self::StoreRefuses(_, s)
            | Self::Freeze(_, s)
            | Self::WorkersCut(_, s)
            | Self::MachineCut(_, s)
            | Self::ZoneCut(_, s)
            | Self::MachineDeaf(_, s)
            | Self::CloudDown(s)
            | Self::Isolated(_, s)
            | Self::LateCopies(s)
            | Self::StoreSlow(s)
            | Self::PeersRefuse(s)
            | Self::LateWrites(s)
            | Self::Boots(_, s)
            | Self::PollStorm(s)
            | Self::WatchStuck(_, s)
            | Self::AnswersLost(s)
            | Self::AnswersLate(s)
            | Self::KeptHeartbeats(s)
            | Self::CloseLooks(s)
            | Self::CancelAtEnd(s)
            | Self::MachineMute(_, s)
            | Self::AllMute(s)
            | Self::MachineHangs(_, s)
            | Self::HeldCommands(_, s)
            | Self::ZoneApart(_, _, s)
            | Self::MachineSlow(_, s) => *s,
            Self::AtLeader(t) => t.steps(),
            Self::MachineDies(_) | Self::MachineReborn(_) | Self::CancelNow(_) => 0,
        }
    }
}

impl Trouble {
    /// The same fault at the controller given, if it is one of controllers.
    fn at_controller(self, n: usize) -> Self {
        match self {
            Self::Crash(_, s) => Self::Crash(n, s),
            Self::Freeze(_, s) => Self::Freeze(n, s),
            Self::StoreRefuses(_, s) => Self::StoreRefuses(n, s),
            Self::WorkersCut(_, s) => Self::WorkersCut(n, s),
            Self::Isolated(_, s) => Self::Isolated(n, s),
            Self::WatchStuck(_, s) => Self::WatchStuck(n, s),
            Self::ZoneApart(zone, _, s) => Self::ZoneApart(zone, n, s),
            other => other,
        }
    }
}

impl World {
    /// Begins the faults that are due.
    pub(super) fn trouble(&mut self) {
        while self.troubles.first().is_some_and(|(at, _)| *at <= self.step) {
            let (_, trouble) = self.troubles.remove(0);
            self.begin(trouble);
        }
    }

    fn begin(&mut self, trouble: Trouble) {
        let step = self.step;
        match trouble {
            Trouble::Crash(n, s) => self.crash(n, s),
            Trouble::CrashAll(s) => (0..NODES).for_each(|n| self.crash(n, s)),
            Trouble::Freeze(n, s) => self.hosts[n].frozen_until = step + s,
            Trouble::AtLeader(inner) => {
                let leader = (0..NODES).find(|&n| self.leads(n)).unwrap_or(0);
                self.begin(inner.at_controller(leader));
            }
            Trouble::StoreDown(s) => {
                if !self.kv.contains_key(marblebarrow_proto::records::LEADER) {
                    self.met.outages_without_leader.push(step);
                }
                self.store_down_until = step + s;
            }
            Trouble::StoreRefuses(n, s) => self.hosts[n].refused_until = step + s,
            Trouble::WorkersCut(n, s) => self.hosts[n].cut_until = step + s,
            Trouble::CloudDown(s) => self.cloud_down_until = step + s,
            Trouble::MachineCut(m, s) => self.at_machine(m, |w| w.cut_until = step + s),
            Trouble::ZoneCut(zone, s) => {
                let there = self.machines.values_mut().filter(|w| w.zone == zone);
                there.for_each(|w| w.cut_until = step + s);
            }
            Trouble::Isolated(n, s) => self.isolate(n, s),
            Trouble::PeersRefuse(s) => {
                self.hosts.iter_mut().for_each(|h| h.alone_until = step + s);
            }
            Trouble::StoreSlow(s) => self.store_slow_until = step + s,
            Trouble::MachineSlow(m, s) => self.at_machine(m, |w| w.slow_until = step + s),
            Trouble::WatchStuck(n, s) => self.hosts[n].watch_stuck_until = step + s,
            Trouble::CancelNow(most) => {
                let running = self.running_jobs();
                let open = |id: &JobId| !self.cancels.contains_key(id);
                self.called_off.extend(running.into_iter().filter(open).take(most));
            }
            Trouble::AnswersLost(s) => self.answers_lost_until = step + s,
            Trouble::AnswersLate(s) => self.answers_late_until = step + s,
            Trouble::KeptHeartbeats(s) => self.keep_until = step + s,
            Trouble::CloseLooks(s) => self.looks_until = step + s,
            Trouble::CancelAtEnd(s) => self.cancel_ends_until = step + s,
            Trouble::MachineMute(m, s) => self.at_machine(m, |w| w.mute_until = step + s),
            Trouble::AllMute(s) => {
                self.machines.values_mut().for_each(|w| w.mute_until = step + s);
            }
            Trouble::ZoneApart(zone, n, s) => {
                self.apart = (zone, n, step + s);
                self.isolate(n, s);
            }
            Trouble::MachineHangs(m, s) => self.at_machine(m, |w| w.hung_until = step + s),
            Trouble::HeldCommands(held, s) => self.held = Some((held, step + s)),
            Trouble::LateWrites(s) => self.late_writes_until = step + s,
            Trouble::Boots(tenths, s) => self.boots = (tenths, step + s),
            Trouble::PollStorm(s) => self.storm_until = step + s,
            Trouble::LateCopies(s) => self.copies = (step + s, s),
            Trouble::MachineDeaf(m, s) => self.at_machine(m, |w| w.deaf_until = step + s),
            Trouble::MachineReborn(m) => self.restart_worker(m),
            Trouble::MachineDies(m) => self.at_machine(m, |w| {
                w.dead = true;
                w.tasks.clear();
            }),
        }
    }

    /// Changes a machine by its place among those that exist, if there is one.
    fn at_machine(&mut self, place: usize, change: impl FnOnce(&mut Worker)) {
        if let Some(worker) = self.machines.values_mut().nth(place) {
            change(worker);
        }
    }

    /// A controller reaches neither the store nor its peers.
    fn isolate(&mut self, n: usize, steps: u32) {
        self.hosts[n].refused_until = self.step + steps;
        self.hosts[n].alone_until = self.step + steps;
    }

    /// A worker is back at once, empty and counting from the beginning.
    ///
    /// Not while cut off: an order held back for its former self would match its epoch and
    /// token, and nothing in the protocol could tell (see docs/questions.md).
    fn restart_worker(&mut self, place: usize) {
        let (now, step) = (self.now(), self.step);
        let up = |w: &Worker| !w.dead && now >= w.up_at && step >= w.cut_until.max(w.deaf_until);
        let machine = self.machines.iter_mut().nth(place).filter(|(_, w)| up(w));
        let Some((id, worker)) = machine else { return };
        worker.tasks.clear();
        (worker.agent_epoch, worker.seq, worker.fencing_token) = (1, 0, 0);
        worker.leased_from = now;
        worker.next_heartbeat = now;
        worker.waiting = None;
        let id = id.clone();
        self.break_connections(&id);
    }

    /// Connections to a worker break, and who sent over them learns no more than that.
    fn break_connections(&mut self, machine: &MachineId) {
        for (at, late) in &mut self.late {
            let Late::Direct(direct) = late else { continue };
            if direct.machine != *machine {
                continue;
            }
            if direct.answer {
                let event = Event::Direct(direct.op, DirectResult::Unknown);
                let (node, boot) = (direct.node, direct.boot);
                *late = Late::Event { node, boot, event };
                *at = self.step + DIRECT_TIMEOUT_STEPS;
            } else {
                // Its sender is told already.
                direct.machine = MachineId::new("gone");
            }
        }
    }

    /// Whether a zone that is apart lies between a controller and a machine.
    pub(super) fn parted(&self, n: usize, machine: &MachineId) -> bool {
        let (zone, host, until) = self.apart;
        let inside = self.machines.get(machine).is_some_and(|w| w.zone == zone);
        self.step < until && inside != (n == host)
    }

    /// Jobs with a task on a live machine.
    pub(super) fn running_jobs(&self) -> BTreeSet<JobId> {
        let live = self.machines.values().filter(|w| !w.dead);
        let running = |w: &Worker| {
            let on = w.tasks.iter().filter(|(_, r)| r.state == TaskState::Running);
            on.map(|(t, _)| t.job.clone()).collect::<Vec<_>>()
        };
        live.flat_map(running).filter(|id| self.accepted.contains(id)).collect()
    }

    // One that stands still or was cut off may still think so: the last to win leads.
    pub(super) fn leads(&self, n: usize) -> bool {
        let term = |h: &Host| h.node.as_ref().and_then(|n| n.authority()).map(|a| a.0);
        let last = self.hosts.iter().filter_map(term).max();
        last.is_some() && term(&self.hosts[n]) == last
    }

    pub(super) fn crash(&mut self, n: usize, steps: u32) {
        self.hosts[n].node = None;
        self.flying[n] = 0;
        self.hosts[n].back_at = self.step + steps;
    }
}
