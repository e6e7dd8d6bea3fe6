//! Memory of the VM.

use nix::sys::sysinfo::sysinfo;

use crate::sizes::ByteSize;

/// The smaller of `stated` and what the VM has, which is logged if it is less: a platform states a huge
/// size where it sets no limit.
pub fn within_vm(stated: ByteSize) -> ByteSize {
    match sysinfo() {
        Ok(info) if info.ram_total() > 0 && ByteSize(info.ram_total()) < stated => {
            let memory = ByteSize(info.ram_total());
            log::warn!(
                "memory: the VM has {memory}, the settings say {stated}; the limits of requests follow \
                 from {memory}"
            );
            memory
        }
        Ok(_) => stated,
        Err(error) => {
            log::warn!(
                "memory: that of the VM cannot be read, the limits of requests follow from the \
                 {stated} of the settings: {error}"
            );
            stated
        }
    }
}
