//! Digest of a run, to compare two runs.

/// FNV-1a over whole words, which gives the same value on every machine and with every version of
/// the standard library.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Digest(u64);

impl Digest {
    pub(super) fn add(&mut self, word: u64) {
        for byte in word.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    pub(super) fn value(self) -> u64 {
        self.0
    }
}
