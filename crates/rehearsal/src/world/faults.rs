//! Faults within a cell, and how each takes effect.

use super::direct::DIRECT_TIMEOUT_STEPS;
use super::*;

/// A fault within a cell. Durations are in steps, controllers are named by index, and machines by
/// their position among those that exist.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A controller crashes, and is restarted after this time.
    Crash(usize, u32),
    /// All controllers crash, and are restarted after this time.
    CrashAll(u32),
    /// A fault aimed at the controller that leads when the fault begins. The index within it is
    /// ignored.
    OnLeader(Box<Fault>),
    /// A controller is suspended while its clocks advance, then handles all events that arrived
    /// meanwhile.
    Pause(usize, u32),
    /// The state service is down for all controllers.
    StoreDown(u32),
    /// The state service refuses the requests of one controller.
    StoreRefuses(usize, u32),
    /// A controller and the workers can't reach each other.
    WorkersCut(usize, u32),
    /// A machine is unreachable. Its heartbeats and the commands to it are delivered when the cut
    /// ends, answers to heartbeats are lost.
    MachinePartitioned(usize, u32),
    /// All machines of a zone are unreachable.
    ZonePartitioned(&'static str, u32),
    /// One-way partition of a machine: its heartbeats arrive, but answers and commands don't reach
    /// it.
    MachineReceivesNothing(usize, u32),
    /// A machine and its tasks are lost.
    MachineFails(usize),
    /// A worker restarts at once with empty state, and counts its agent epochs from the beginning.
    AgentRestarts(usize),
    /// The cloud refuses all requests.
    CloudDown(u32),
    /// A controller reaches neither the store nor its peers, but workers and users.
    CutFromStoreAndPeers(usize, u32),
    /// All heartbeats are duplicated, and the copies arrive up to this much later.
    LateHeartbeatCopies(u32),
    /// The state service takes up to two seconds for each answer.
    StoreSlow(u32),
    /// Controllers can't reach each other.
    PeersRefuse(u32),
    /// A third of all transactions get no answer, and take effect 2 to 12 s later, after newer
    /// ones.
    LateWrites(u32),
    /// Machines rented take this many tenths of the usual boot time. If it is longer than usual,
    /// every third machine never comes up.
    BootTimes(u32, u32),
    /// Users poll about every job in each step instead of once a second.
    PollStorm(u32),
    /// Tasks on a machine take six times as long.
    MachineSlow(usize, u32),
    /// A controller's watch returns nothing, while the store serves its other requests.
    WatchStuck(usize, u32),
    /// Users cancel this many running jobs at once.
    CancelNow(usize),
    /// A third of all transactions are executed at once, and only their answers are lost.
    AnswersLost(u32),
    /// Transactions are executed at once, and their answers arrive up to a second later, after the
    /// watch has shown the changes.
    AnswersLate(u32),
    /// Copies of a third of all heartbeats are kept, and reach every controller as soon as the
    /// leader changes.
    HeldHeartbeats(u32),
    /// Right after a job was accepted, ended or cancelled, users poll every controller at once and
    /// repeat their earlier requests.
    ClosePolling(u32),
    /// Half of the jobs that end are cancelled at that moment.
    CancelAtEnd(u32),
    /// One-way partition of a machine: its heartbeats reach no controller, but direct commands
    /// reach it.
    MachineReachesNoController(usize, u32),
    /// One-way partition of all machines: no heartbeat reaches a controller, but direct commands
    /// arrive.
    NoMachineReachesController(u32),
    /// A network partition: the machines of a zone and one controller reach only each other.
    ZonePartitionedWithController(&'static str, usize, u32),
    /// A machine is suspended, then handles what arrived meanwhile.
    MachineHangs(usize, u32),
    /// Some direct commands are delayed, the answers to others, and answers to heartbeats that start
    /// tasks, while all other messages to and from their machines arrive.
    HeldCommands(HoldPlan, u32),
    /// Some direct commands, answered or not, are delivered again, up to many leases later.
    RepeatedCommands(RepeatPlan, u32),
}

/// How direct commands are delayed.
#[derive(Clone, Copy, Debug)]
pub struct HoldPlan {
    /// One in this many commands is delayed, the answer to another one in this many, and one in this
    /// many answers that start tasks.
    pub one_in: u32,
    /// Smallest delay of a command, in steps.
    pub min_steps: u32,
    /// Upper bound of the delay of a command, in steps, exclusive.
    pub max_steps: u32,
    /// Whether answers that start tasks are delayed.
    pub answers: bool,
    /// Whether users cancel jobs whose start command is delayed, within two seconds after it was
    /// sent.
    pub cancelled: bool,
}

impl Fault {
    /// Duration of the fault, in steps.
    pub fn steps(&self) -> u32 {
        match self {
            Self::Crash(_, s)
            | Self::CrashAll(s)
            | Self::StoreDown(s)
            | Self::StoreRefuses(_, s)
            | Self::Pause(_, s)
            | Self::WorkersCut(_, s)
            | Self::MachinePartitioned(_, s)
            | Self::ZonePartitioned(_, s)
            | Self::MachineReceivesNothing(_, s)
            | Self::CloudDown(s)
            | Self::CutFromStoreAndPeers(_, s)
            | Self::LateHeartbeatCopies(s)
            | Self::StoreSlow(s)
            | Self::PeersRefuse(s)
            | Self::LateWrites(s)
            | Self::BootTimes(_, s)
            | Self::PollStorm(s)
            | Self::WatchStuck(_, s)
            | Self::AnswersLost(s)
            | Self::AnswersLate(s)
            | Self::HeldHeartbeats(s)
            | Self::ClosePolling(s)
            | Self::CancelAtEnd(s)
            | Self::MachineReachesNoController(_, s)
            | Self::NoMachineReachesController(s)
            | Self::MachineHangs(_, s)
            | Self::HeldCommands(_, s)
            | Self::RepeatedCommands(_, s)
            | Self::ZonePartitionedWithController(_, _, s)
            | Self::MachineSlow(_, s) => *s,
            Self::OnLeader(t) => t.steps(),
            Self::MachineFails(_) | Self::AgentRestarts(_) | Self::CancelNow(_) => 0,
        }
    }
}

impl Fault {
    /// The same fault at the given controller, if it affects a single controller.
    fn at_controller(self, n: usize) -> Self {
        match self {
            Self::Crash(_, s) => Self::Crash(n, s),
            Self::Pause(_, s) => Self::Pause(n, s),
            Self::StoreRefuses(_, s) => Self::StoreRefuses(n, s),
            Self::WorkersCut(_, s) => Self::WorkersCut(n, s),
            Self::CutFromStoreAndPeers(_, s) => Self::CutFromStoreAndPeers(n, s),
            Self::WatchStuck(_, s) => Self::WatchStuck(n, s),
            Self::ZonePartitionedWithController(zone, _, s) => {
                Self::ZonePartitionedWithController(zone, n, s)
            }
            other => other,
        }
    }
}

impl World {
    /// Begins the faults that are due.
    pub(super) fn begin_due_faults(&mut self) {
        while self.faults.first().is_some_and(|(at, _)| *at <= self.step) {
            let (_, fault) = self.faults.remove(0);
            self.begin(fault);
        }
    }

    /// Applies a fault from this step on.
    fn begin(&mut self, fault: Fault) {
        let step = self.step;
        match fault {
            Fault::Crash(n, s) => self.crash(n, s),
            Fault::CrashAll(s) => (0..NODES).for_each(|n| self.crash(n, s)),
            Fault::Pause(n, s) => self.hosts[n].paused_until = step + s,
            Fault::OnLeader(inner) => {
                let leader = (0..NODES).find(|&n| self.leads(n)).unwrap_or(0);
                self.begin(inner.at_controller(leader));
            }
            Fault::StoreDown(s) => {
                if !self.kv.contains_key(marblebarrow_proto::records::LEADER_KEY) {
                    self.observed.outages_without_leader.push(step);
                }
                self.store_down_until = step + s;
            }
            Fault::StoreRefuses(n, s) => self.hosts[n].store_refused_until = step + s,
            Fault::WorkersCut(n, s) => self.hosts[n].cut_until = step + s,
            Fault::CloudDown(s) => self.cloud_down_until = step + s,
            Fault::MachinePartitioned(m, s) => self.at_machine(m, |w| w.cut_until = step + s),
            Fault::ZonePartitioned(zone, s) => {
                let there = self.machines.values_mut().filter(|w| w.zone == zone);
                there.for_each(|w| w.cut_until = step + s);
            }
            Fault::CutFromStoreAndPeers(n, s) => self.isolate(n, s),
            Fault::PeersRefuse(s) => {
                self.hosts.iter_mut().for_each(|h| h.peers_cut_until = step + s);
            }
            Fault::StoreSlow(s) => self.store_slow_until = step + s,
            Fault::MachineSlow(m, s) => self.at_machine(m, |w| w.slow_until = step + s),
            Fault::WatchStuck(n, s) => self.hosts[n].watch_stuck_until = step + s,
            Fault::CancelNow(most) => {
                let running = self.running_jobs();
                let open = |id: &JobId| !self.cancels.contains_key(id);
                self.cancel_requested.extend(running.into_iter().filter(open).take(most));
            }
            Fault::AnswersLost(s) => self.answers_lost_until = step + s,
            Fault::AnswersLate(s) => self.answers_late_until = step + s,
            Fault::HeldHeartbeats(s) => self.keep_heartbeats_until = step + s,
            Fault::ClosePolling(s) => self.request_bursts_until = step + s,
            Fault::CancelAtEnd(s) => self.cancel_at_end_until = step + s,
            Fault::MachineReachesNoController(m, s) => {
                self.at_machine(m, |w| w.outbound_cut_until = step + s)
            }
            Fault::NoMachineReachesController(s) => {
                self.machines.values_mut().for_each(|w| w.outbound_cut_until = step + s);
            }
            Fault::ZonePartitionedWithController(zone, n, s) => {
                self.partition = (zone, n, step + s);
                self.isolate(n, s);
            }
            Fault::MachineHangs(m, s) => self.at_machine(m, |w| w.hung_until = step + s),
            Fault::HeldCommands(held, s) => self.held = Some((held, step + s)),
            Fault::RepeatedCommands(plan, s) => self.repeated = Some((plan, step + s)),
            Fault::LateWrites(s) => self.late_writes_until = step + s,
            Fault::BootTimes(tenths, s) => self.boots = (tenths, step + s),
            Fault::PollStorm(s) => self.poll_storm_until = step + s,
            Fault::LateHeartbeatCopies(s) => self.copies = (step + s, s),
            Fault::MachineReceivesNothing(m, s) => {
                self.at_machine(m, |w| w.inbound_cut_until = step + s)
            }
            Fault::AgentRestarts(m) => self.restart_worker(m),
            Fault::MachineFails(m) => self.at_machine(m, |w| {
                w.dead = true;
                w.tasks.clear();
            }),
        }
    }

    /// Changes the machine at a position among those that exist, if there is one.
    fn at_machine(&mut self, place: usize, change: impl FnOnce(&mut Worker)) {
        if let Some(worker) = self.machines.values_mut().nth(place) {
            change(worker);
        }
    }

    /// Cuts a controller off from the store and its peers.
    fn isolate(&mut self, n: usize, steps: u32) {
        self.hosts[n].store_refused_until = self.step + steps;
        self.hosts[n].peers_cut_until = self.step + steps;
    }

    /// Restarts a worker with empty state, which counts its agent epochs from the beginning.
    ///
    /// An unreachable worker is not restarted: a command delayed for the process before the restart
    /// would match the agent epoch and fencing token of the new one, and nothing in the protocol
    /// could tell them apart (see docs/questions.md).
    fn restart_worker(&mut self, place: usize) {
        let (now, step) = (self.now(), self.step);
        let up =
            |w: &Worker| !w.dead && now >= w.up_at && step >= w.cut_until.max(w.inbound_cut_until);
        let machine = self.machines.iter_mut().nth(place).filter(|(_, w)| up(w));
        let Some((id, worker)) = machine else { return };
        worker.tasks.clear();
        worker.started.clear();
        worker.restarts += 1;
        (worker.agent_epoch, worker.seq, worker.fencing_token) = (1, 0, 0);
        worker.token_reported_at = f64::NEG_INFINITY;
        worker.leased_from = now;
        worker.next_heartbeat = now;
        worker.awaiting_since = None;
        let id = id.clone();
        self.break_connections(&id);
        self.schedule_copies_after_restart(&id);
    }

    /// Breaks the connections to a worker. The senders of commands in flight learn only that the
    /// outcome is unknown.
    fn break_connections(&mut self, machine: &MachineId) {
        for (at, delivery) in &mut self.deliveries {
            let Delivery::Direct(direct) = delivery else { continue };
            if direct.machine != *machine {
                continue;
            }
            if direct.answer {
                let event = Event::Direct(direct.op, DirectResult::Unknown);
                let (node, boot) = (direct.node, direct.boot);
                *delivery = Delivery::Event { node, boot, event };
                *at = self.step + DIRECT_TIMEOUT_STEPS;
            } else {
                // The sender has been told of the unknown outcome already.
                direct.machine = MachineId::new("gone");
            }
        }
    }

    /// Whether a network partition separates a controller from a machine.
    pub(super) fn is_partitioned(&self, n: usize, machine: &MachineId) -> bool {
        let (zone, host, until) = self.partition;
        let inside = self.machines.get(machine).is_some_and(|w| w.zone == zone);
        self.step < until && inside != (n == host)
    }

    /// Accepted jobs with a running task on a live machine.
    pub(super) fn running_jobs(&self) -> BTreeSet<JobId> {
        let live = self.machines.values().filter(|w| !w.dead);
        let running = |w: &Worker| {
            let on = w.tasks.iter().filter(|(_, r)| r.state == TaskState::Running);
            on.map(|(t, _)| t.job.clone()).collect::<Vec<_>>()
        };
        live.flat_map(running).filter(|id| self.accepted.contains(id)).collect()
    }

    /// Whether a controller leads. One that was suspended or cut off may still believe that it
    /// does, so the leader is the one with the highest term.
    pub(super) fn leads(&self, n: usize) -> bool {
        let term = |h: &Host| h.node.as_ref().and_then(|n| n.authority()).map(|a| a.0);
        let last = self.hosts.iter().filter_map(term).max();
        last.is_some() && term(&self.hosts[n]) == last
    }

    /// Ends a controller process, to be restarted after this many steps.
    pub(super) fn crash(&mut self, n: usize, steps: u32) {
        self.hosts[n].node = None;
        self.directs_in_flight[n] = 0;
        self.hosts[n].restart_at = self.step + steps;
    }
}
