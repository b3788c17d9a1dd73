//! The blocks of machine records in the store, checked at every commit: each recorded machine is in
//! exactly one block until it is gone. A new leader takes a machine that is in no block for one on
//! which nothing runs.

use super::*;
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::records::{MACHINES_PREFIX, MachineBlock};

/// The machines in each block, by the block's key.
#[derive(Debug, Default)]
pub(super) struct StoredBlocks(BTreeMap<String, BTreeSet<MachineId>>);

impl StoredBlocks {
    /// Number of blocks that contain the machine.
    fn count(&self, id: &MachineId) -> usize {
        self.0.values().filter(|block| block.contains(id)).count()
    }
}

/// The machines that a write leaves in a block; `None` if it is not one of a block.
fn block_after(write: &Write) -> Option<(&String, BTreeSet<MachineId>)> {
    let (key, machines) = match write {
        Write::Put { key, value, .. } if key.starts_with(MACHINES_PREFIX) => {
            (key, from_value::<MachineBlock>(value).ok()?.machines)
        }
        Write::Delete { key } if key.starts_with(MACHINES_PREFIX) => (key, Vec::new()),
        _ => return None,
    };
    Some((key, machines.into_iter().map(|(id, _)| id).collect()))
}

impl World {
    /// Applies a committed transaction, and checks the machines whose blocks it changes.
    pub(super) fn check_blocks(&mut self, txn: &Txn) {
        let mut changed: BTreeSet<MachineId> = BTreeSet::new();
        let mut blocks = 0;
        for (key, after) in txn.writes.iter().filter_map(block_after) {
            blocks += 1;
            let before = self.stored_blocks.0.remove(key).unwrap_or_default();
            changed.extend(before.symmetric_difference(&after).cloned());
            if !after.is_empty() {
                self.stored_blocks.0.insert(key.clone(), after);
            }
        }
        for id in changed {
            let gone = self.machines.get(&id).is_none_or(|worker| worker.dead);
            let count = self.stored_blocks.count(&id);
            if count > 1 || count == 0 && !gone {
                self.violations.push(format!("recorded_once: {id} is in {count} blocks"));
            }
        }
        let is_new = |key: &String| {
            txn.conditions.iter().any(|condition| condition.key == *key && condition.version == 0)
        };
        let puts = txn.writes.iter().filter_map(|write| match write {
            Write::Put { key, .. } if key.starts_with(MACHINES_PREFIX) => Some(key),
            _ => None,
        });
        let new = puts.filter(|key| is_new(key)).count();
        self.observed.blocks_split += u32::from(new > 0 && blocks > new);
    }
}
