//! Giving back: machines that never came up, fell silent, failed, idle or are
//! better emptied; and what notices of spot machines ask for.

use crate::consts::*;
use crate::event::Secs;
use crate::fleet::Machine;
use crate::jobs::{Outcome, Phase};
use crate::leader::Leader;
use marblebarrow_proto::ids::{MachineId, TaskId};
use marblebarrow_proto::job::{Kind, Priority};
use std::collections::{BTreeMap, HashMap};

/// Who could take over a lost replica of an image at once.
#[derive(Debug, Default)]
struct Spare {
    replicas: u32,
    cpus: f64,
    holders: u32,
}

impl Spare {
    /// Whether none of the holders may go.
    fn short(&self) -> bool {
        self.holders <= (f64::from(self.replicas) * HOLDERS_SHARE) as u32
    }
}

impl Leader {
    /// Picks the machines to return.
    pub(crate) fn return_machines(&mut self, now: Secs) {
        let lag = self.facts.list_lag_s;
        let mut give_up = Vec::new();
        let mut vanished = Vec::new();
        for (id, b) in &self.cloud_requests.booting {
            // Nor before the others there are expected.
            let t = self.cloud_requests.types.iter().find(|t| t.name == b.kind);
            let boot = t.map_or(0.0, |t| {
                (t.boot_s * BOOT_GIVE_UP).max(self.cloud_requests.boot(t, &b.zone) * BOOT_COUNTED)
            });
            let age = now - b.since;
            if b.failed || age > boot + lag {
                give_up.push(id.clone());
            } else if b.listed_at.map_or(age, |at| now - at) > lag * 3.0 + LIST_EVERY_S * 2.0 {
                // Taken back before it reported, or never more than a promise.
                vanished.push(id.clone());
            }
        }
        self.cloud_requests.release.extend(give_up);
        for id in vanished {
            self.cloud_requests.release.insert(id);
        }
        let gone = self.facts.report_s * GONE_REPORTS + GONE_MARGIN_S;
        let quiet = self.facts.report_s * QUIET_REPORTS + QUIET_MARGIN_S;
        // Their silence speaks of them only if we hear the others.
        let lately = self
            .machines
            .values()
            .filter(|m| m.heard.is_some_and(|h| now - h < self.facts.report_s * SILENT_REPORTS));
        let most_heard = lately.count() * 2 > self.machines.len();
        let heard_lately = now - self.cloud_requests.office_at > GONE_AFTER_S
            && most_heard
            && self.prompt_for(now, quiet);
        let prompt_for_gone = self.prompt_for(now, gone);
        // And for an early verdict only if we hear them right now: cut off from
        // the workers, a leader once gave up half the fleet in the seconds before
        // it found out.
        let window = self.facts.report_s * HEARING_REPORTS;
        let known = self.machines.values().filter(|m| m.lapsed.is_none());
        let (mut all, mut now_heard) = (0u32, 0u32);
        for m in known {
            all += 1;
            now_heard += u32::from(m.heard.is_some_and(|h| now - h < window));
        }
        let hearing = f64::from(now_heard) > f64::from(all) * HEARING_SHARE;
        let office_at = self.cloud_requests.office_at;
        // Machines and those silent, by zone.
        let mut zones: BTreeMap<String, (u32, u32)> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.lapsed.is_none()) {
            let silent = m.heard.is_none_or(|h| now - h > quiet);
            let count = match zones.get_mut(&m.info.zone) {
                Some(c) => c,
                None => zones.entry(m.info.zone.clone()).or_default(),
            };
            count.0 += 1;
            count.1 += u32::from(silent);
        }
        let cut_off = |zone: &str| {
            let count = zones.get(zone).copied().unwrap_or_default();
            zones.len() > 1 && f64::from(count.1) > f64::from(count.0) * ZONE_CUT_SHARE
        };
        let mut holders: HashMap<String, [u32; 2]> = HashMap::new();
        for m in self.machines.values().filter(|m| !m.releasing && m.lapsed.is_none()) {
            for (image, _) in &m.images {
                let count = match holders.get_mut(image) {
                    Some(c) => c,
                    None => holders.entry(image.clone()).or_default(),
                };
                count[usize::from(m.info.spot)] += 1;
            }
        }
        let mut idle = Vec::new();
        let mut spare_only = Vec::new();
        for (id, m) in &mut self.machines {
            let stuck = |m: &Machine| {
                m.tasks.iter().all(|t| {
                    self.jobs
                        .get(&t.job)
                        .and_then(|j| j.live.get(&t.index))
                        .is_some_and(|l| l.doubt && l.stop.is_some() && l.phase == Phase::Sent)
                })
            };
            // Recorded and never heard in this term counts from taking office:
            // such a machine held up recovery for a whole lease.
            // (What is heard of an unconfirmed one may be late copies.)
            // Nor can one that came up just now have been silent for long: where
            // direct commands were crowded, hundreds of new machines once were
            // given up before anybody had asked them.
            let asked_since = office_at.max(m.first_heard);
            let silent = now - m.heard.filter(|_| m.confirmed).unwrap_or(asked_since) > gone;
            // An ordinary machine may be cut and its replicas serve on; but if
            // it was never heard in this term, its lease is mostly over by now.
            let given_up = m.info.spot || !m.confirmed;
            let unreached = m.info.spot
                && !m.confirmed
                && m.unreached >= PROBES
                && most_heard
                && prompt_for_gone;
            // One that missed a report and two questions is dead, hung or cut: its
            // lease tells none of them apart, and would keep its tasks away for
            // as long as it lasts, while a release is proof at once. (Dead machines once kept a tenth of all replicas
            // away for a whole lease.)
            let dead = hearing
                && m.unreached >= QUIET_PROBES
                && now - m.heard.filter(|_| m.confirmed).unwrap_or(asked_since) > quiet
                && !cut_off(&m.info.zone);
            let gone = unreached || heard_lately && (silent && given_up && prompt_for_gone || dead);
            if gone && m.lapsed.is_none() && !m.releasing {
                self.log.push(|| format!("event=silent machine={id} spot={}", m.info.spot));
                m.releasing = true;
                self.cloud_requests.release.insert(id.clone());
            }
            let back_by = self.facts.lease_s + LAPSED_KEPT_S;
            // Heard, but nothing reaches it: its lease runs out all the same.
            let since = m.reached.unwrap_or(m.first_heard).max(office_at);
            // (Where machines report too seldom to prove by it that they hear us, and there
            // were too few threads to ask them all, idle ones nobody had asked and others
            // with their work were once returned as deaf, a dozen a second.)
            let deaf = now - since > back_by && m.asked_in_vain();
            if m.lapsed.is_some() && now - m.answered > back_by || deaf && m.heard.is_some() {
                // Silent past its lease. Should it be back by then, it will
                // have nothing on it that counts.
                m.cordoned = true;
                self.cloud_requests.release.insert(id.clone());
            } else if m.errors >= MACHINE_ERRORS || m.slow >= SLOW_SAMPLES {
                if !m.cordoned {
                    self.log.push(|| {
                        format!("event=cordon machine={id} errors={} slow={}", m.errors, m.slow)
                    });
                }
                m.cordoned = true;
            }
            if m.cordoned && m.direct.is_none() && !m.releasing && stuck(m) {
                m.releasing = true;
                self.cloud_requests.release.insert(id.clone());
            }
            // Nothing but work for spare capacity on an ordinary machine, which is
            // dearer than that work is worth.
            let only_spare = !m.info.spot
                && !m.tasks.is_empty()
                && !m.cordoned
                && m.tasks.iter().all(|t| {
                    self.jobs.get(&t.job).is_some_and(|j| {
                        let known = j.live.get(&t.index).is_some_and(|l| !l.doubt);
                        j.cheap_only(now) && known && !j.keeps(now)
                    })
                });
            if only_spare && m.spare_since.is_none() {
                m.spare_since = Some(now);
            } else if !only_spare {
                m.spare_since = None;
            }
            if m.spare_since.is_some_and(|at| now - at > self.facts.tuning.idle_s) {
                spare_only.push(id.clone());
            }
            let idle_now = m.tasks.is_empty()
                && m.exited.keys().all(|k| m.start_doubts.contains(k))
                && m.direct.is_none()
                && !m.releasing
                && m.confirmed
                && now - m.first_heard > LEAST_BILL_S / 2.0;
            if !idle_now {
                continue;
            }
            let rate = m.fetch_rate.max(1e-3);
            let rare = |image: &String| {
                holders.get(image).is_none_or(|n| n[usize::from(m.info.spot)] <= RARE_HOLDERS)
            };
            let fetches =
                m.images.iter().filter(|(i, _)| rare(i)).map(|(_, gb)| gb / rate).sum::<f64>();
            let patience = if m.cordoned {
                // It gets no more work, so there is nothing to wait for.
                0.0
            } else if m.info.spot {
                IDLE_SPOT_S + fetches.min(IDLE_IMAGES_S)
            } else {
                self.facts.tuning.idle_s + fetches.min(IDLE_IMAGES_ORDINARY_S)
            };
            let unneeded = now - m.idle_since > patience;
            if unneeded {
                idle.push(id.clone());
            }
        }
        if self.recovering {
            return;
        }
        self.clear_spare(now, spare_only);
        if idle.is_empty() {
            return;
        }
        let mut spare = self.spare_holders(now);
        // Dearest kind first; the fewer replicas it could take over, and the
        // fewer images it holds, the less is lost with it.
        let mut idle: Vec<(bool, u32, usize, MachineId)> = idle
            .into_iter()
            .filter_map(|id| {
                let m = self.machines.get(&id)?;
                let wanted = m.images.iter().filter_map(|(i, _)| spare.get(i)).map(|s| s.replicas);
                Some((m.info.spot, wanted.sum(), m.images.len(), id))
            })
            .collect();
        // A few a round, unless they are wanted warm.
        idle.sort();
        let mut most = (idle.len() as f64 * RETURN_SHARE).ceil() as usize;
        for (spot, _, _, id) in idle {
            if most == 0 {
                break;
            }
            let images: Vec<String> = self
                .machines
                .get(&id)
                .map(|m| m.images.iter().map(|(i, _)| i.clone()).collect())
                .unwrap_or_default();
            let cordoned = self.machines.get(&id).is_some_and(|m| m.cordoned);
            if cordoned {
                most -= 1;
                if let Some(m) = self.machines.get_mut(&id) {
                    m.releasing = true;
                }
                self.cloud_requests.release.insert(id);
                continue;
            }
            if !spot && images.iter().any(|i| spare.get(i).is_some_and(|s| s.short())) {
                continue;
            }
            if !spot && !self.warm_without(now, &id) {
                // Those after it are alike: all are tried in rounds to come.
                most -= 1;
                continue;
            }
            most -= 1;
            if !spot {
                for image in &images {
                    if let Some(s) = spare.get_mut(image) {
                        s.holders = s.holders.saturating_sub(1);
                    }
                }
            }
            if let Some(m) = self.machines.get_mut(&id) {
                m.cordoned = true;
                m.releasing = true;
            }
            self.cloud_requests.release.insert(id);
        }
    }

    /// Whether anything waits but work for spare capacity and mistaken jobs.
    fn usual_waits(&self) -> bool {
        self.jobs.values().any(|j| j.waiting() > 0 && !j.spare() && !j.mistaken())
    }

    /// Empties ordinary machines that hold nothing but work for spare capacity, a
    /// few a round, unless others wait for room or services want them warm. The
    /// work saves what it did, and goes on where it is cheap.
    fn clear_spare(&mut self, now: Secs, ids: Vec<MachineId>) {
        if self.usual_waits() {
            return;
        }
        let most = (ids.len() as f64 * RETURN_SHARE).ceil() as usize;
        for id in ids.into_iter().take(most) {
            if !self.warm_without(now, &id) {
                continue;
            }
            let Some(m) = self.machines.get_mut(&id) else { continue };
            m.cordoned = true;
            m.push = true;
            self.log.push(|| format!("event=clear machine={id} tasks={}", m.tasks.len()));
            for task in m.tasks.clone() {
                self.save_and_stop(&task);
            }
        }
    }

    fn save_and_stop(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let save_s = job.spec().save_s * 2.0;
        if let Some(live) = job.live.get_mut(&task.index) {
            live.stop.get_or_insert(save_s);
        }
    }

    /// For each image of running replicas: how many of these there are, and on
    /// how many ordinary machines one more could start without a fetch.
    fn spare_holders(&self, now: Secs) -> HashMap<String, Spare> {
        let mut spare: HashMap<String, Spare> = HashMap::new();
        for job in self.jobs.values().filter(|j| j.spec().kind == Kind::Service) {
            let s = job.spec();
            let entry = spare.entry(s.image.clone()).or_default();
            entry.replicas += job.live.len() as u32;
            entry.cpus = entry.cpus.max(s.cpus);
        }
        for m in self.machines.values() {
            if m.info.spot || !m.usable(now, self.facts.report_s) {
                continue;
            }
            let room = self.with_lent(m)[0] + 1e-9;
            for (image, _) in &m.images {
                if let Some(s) = spare.get_mut(image).filter(|s| s.cpus <= room) {
                    s.holders += 1;
                }
            }
        }
        spare
    }

    /// What is free, and what arrays of a lower rank would give up.
    fn with_lent(&self, m: &Machine) -> [f64; 3] {
        let mut free = m.free();
        for task in m.tasks.difference(&m.freed) {
            let Some(s) = self.jobs.get(&task.job).map(|j| j.spec()) else { continue };
            if s.kind == Kind::Array && s.priority < Priority::Production {
                free[0] += s.cpus;
                free[1] += s.gpus;
                free[2] += s.memory_gb;
            }
        }
        free
    }

    /// Moves the replicas of a machine that is used little onto others that stay
    /// anyway and hold their images, so that it can be returned.
    pub(crate) fn gather(&mut self, now: Secs) {
        if self.recovering || now < self.cloud_requests.next_gather {
            return;
        }
        // Not while idle work waits either: it fills what replicas leave. Mistaken jobs
        // wait for as long as their users do, and held up all gathering.
        let waiting = self.jobs.values().any(|j| j.waiting() > 0 && !j.mistaken());
        let Some(id) = (!waiting).then(|| self.least_used(now)).flatten() else { return };
        if !self.fits_elsewhere(now, &id) || !self.warm_without(now, &id) {
            return;
        }
        let crowd = (self.machines.len() as f64 / GATHER_FLEET).max(1.0);
        self.cloud_requests.next_gather = now + GATHER_EVERY_S / crowd;
        let Some(m) = self.machines.get_mut(&id) else { return };
        m.cordoned = true;
        m.push = true;
        self.log.push(|| format!("event=gather machine={id} replicas={}", m.tasks.len()));
        for task in m.tasks.clone() {
            self.save_and_stop(&task);
        }
    }

    /// The ordinary machine with the least on it, if that is all replicas that
    /// may be moved.
    fn least_used(&self, now: Secs) -> Option<MachineId> {
        let movable = |task: &TaskId| {
            self.jobs.get(&task.job).is_some_and(|j| {
                let s = j.spec();
                let ripe = j.live.get(&task.index).is_some_and(|l| {
                    l.stop.is_none()
                        && !l.doubt
                        && l.ran_from.is_some_and(|from| now - from > GATHER_AGE_S)
                });
                s.kind == Kind::Service && !s.spread && !s.one_zone && ripe
            })
        };
        let share = |m: &Machine| m.used[0] / m.size[0].max(1e-3);
        self.machines
            .iter()
            .filter(|(_, m)| {
                !m.info.spot
                    && m.services > 0
                    && m.direct.is_none()
                    && m.usable(now, self.facts.report_s)
                    && m.tasks.iter().all(movable)
            })
            .map(|(id, m)| (share(m), id))
            .filter(|(s, _)| *s <= GATHER_SHARE)
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id.clone())
    }

    /// Whether all that is on a machine fits on others that hold replicas and
    /// the images.
    fn fits_elsewhere(&self, now: Secs, id: &MachineId) -> bool {
        let Some(m) = self.machines.get(id) else { return false };
        let mut rooms: Vec<(&Machine, [f64; 3])> = self
            .machines
            .iter()
            .filter(|(o, om)| {
                *o != id && !om.info.spot && om.services > 0 && om.usable(now, self.facts.report_s)
            })
            .map(|(_, om)| (om, om.free()))
            .collect();
        m.tasks.iter().all(|task| {
            let Some(spec) = self.jobs.get(&task.job).map(|j| j.spec()) else { return false };
            let needs = [spec.cpus, spec.gpus, spec.memory_gb];
            let room = rooms.iter_mut().find(|(om, free)| {
                om.has_image(&spec.image)
                    && spec.types.as_ref().is_none_or(|t| t.contains(&om.info.kind))
                    && spec.zone.as_ref().is_none_or(|z| *z == om.info.zone)
                    && (0..3).all(|i| free[i] + 1e-9 >= needs[i])
            });
            let Some((_, free)) = room else { return false };
            (0..3).for_each(|i| free[i] -= needs[i]);
            true
        })
    }

    /// What the spot notices say: tasks that can save are stopped in time, the
    /// others run on; no new ones come.
    pub(crate) fn drain_noticed(&mut self, now: Secs) {
        let mut moves = Vec::new();
        for (id, m) in &self.machines {
            let Some(until) = m.notice else { continue };
            for task in &m.tasks {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let spec = job.spec();
                let due = until - now < spec.save_s + self.facts.report_s;
                if spec.checkpoint_s > 0.0 && due {
                    moves.push((id.clone(), task.clone(), spec.save_s));
                }
            }
        }
        for (id, task, save_s) in moves {
            let live = self.jobs.get_mut(&task.job).and_then(|j| j.live.get_mut(&task.index));
            if let Some(live) = live.filter(|l| l.stop.is_none()) {
                live.stop = Some(save_s * 2.0);
                if let Some(m) = self.machines.get_mut(&id) {
                    m.push = true;
                }
            }
        }
    }

    /// Takes back starts that never left, as their machine got a notice or
    /// doesn't hear us.
    pub(crate) fn unplace(&mut self, now: Secs) {
        let mut back = Vec::new();
        let hears = |m: &Machine| m.hears(now, self.facts.report_s);
        for m in self.machines.values().filter(|m| m.notice.is_some() || m.cordoned || !hears(m)) {
            for task in &m.tasks {
                let live = self.jobs.get(&task.job).and_then(|j| j.live.get(&task.index));
                if live.is_some_and(|l| l.never_sent(now)) {
                    back.push(task.clone());
                }
            }
        }
        for task in back {
            self.over(&task.job, task.index, Outcome::Lost, now);
        }
    }
}
