//! Membership: the entries of the node's zone and the relays of the other zones.

use std::{collections::HashMap, net::SocketAddr};

use base::prelude::*;
use object_api::vms::VmEntry;

use super::SpreadNode;
use crate::spread::{
    VM_ENTRY_BYTES, VM_LIST_RATE,
    event::SpreadAction,
    message::RosterMessage,
    roster::{EntryRoster, NodeHash},
};

impl SpreadNode {
    pub(super) fn apply_roster(&mut self, from: &VmId, message: &RosterMessage, now: Instant) {
        let has_vm_list = !self.zone_vms.is_empty() && self.is_relay();
        let is_accepted = self.parent.is_current(from) || !self.is_ready();
        if has_vm_list || !is_accepted {
            return;
        }
        let roster = EntryRoster::from_message(&self.identity.zone, message);
        if !roster.is_empty() {
            self.roster = roster;
            self.choose_parent(now);
        }
    }

    pub(super) fn apply_vm_list(
        &mut self,
        vms: &[VmEntry],
        actions: &mut Vec<SpreadAction>,
        now: Instant,
    ) {
        let zone = self.identity.zone.clone();
        let roster = EntryRoster::from_vms(&zone, vms);
        if roster.is_empty() {
            return;
        }
        self.roster = roster;
        let in_zone = vms.iter().filter(|vm| vm.zone == zone);
        self.zone_vms = in_zone.map(|vm| (NodeHash::of(&vm.id), vm.clone())).collect();
        self.other_relays = other_relays(&zone, vms);
        let pause = Duration::from_secs(vms.len() as u64 * VM_ENTRY_BYTES / VM_LIST_RATE);
        self.timers.next_vm_list = now + pause.max(self.settings.vm_list_interval);
        self.choose_parent(now);
        self.watch_if_relay(actions);
    }

    pub(super) fn choose_parent(&mut self, now: Instant) {
        let candidates = self.roster.parent_candidates(&self.identity.vm, self.settings.fan_out);
        self.parent.replace(candidates, now);
    }
}

fn other_relays(own_zone: &ZoneName, vms: &[VmEntry]) -> HashMap<VmId, SocketAddr> {
    let mut zones: Vec<&ZoneName> = vms.iter().map(|vm| &vm.zone).collect();
    zones.sort();
    zones.dedup();
    zones.retain(|zone| *zone != own_zone);
    let mut relays = HashMap::new();
    for zone in zones {
        let roster = EntryRoster::from_vms(zone, vms);
        relays.extend(roster.relays().iter().map(|relay| (relay.vm.clone(), relay.address)));
    }
    relays
}
