//! The replicas are cut off from the entries for some seconds, several times, while some clients
//! leave early. It looks at one entry alone, whose clients never turn to another, and so is stricter
//! than the rule: no case of the review.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    replica::{Client, Replica},
    store::Store,
    world::{Record, World},
};

/// Length of a cut, as on the sheets.
const CUT: Duration = Duration::from_millis(5_500);
const CUTS: usize = 9;
/// Entries of the deployment, of which one is looked at.
const ENTRIES: u8 = 21;
/// Channels that a replica accepts from all of them.
const MAX_CHANNELS: u32 = 190;
const PAUSE: Duration = Duration::from_millis(1_800);
const RECOVER: Duration = Duration::from_secs(15);
/// Clients of the entry; those who leave early are under three tenths, as on the sheets.
const CLIENTS: usize = 10;
const LEAVING_CLIENTS: usize = 3;
/// Half of the response-time goal.
const PATIENCE: Duration = Duration::from_millis(50);
/// Time between two requests of a client.
const THINKING: Duration = Duration::from_millis(600);
/// Time in which requests are counted before the first cut and after the recovery.
const COUNTED: Duration = Duration::from_secs(6);

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    /// Whether clients leave early at present.
    leaves: AtomicBool,
}

impl Counts {
    fn restart(&self) {
        self.sent.store(0, Ordering::SeqCst);
        self.served.store(0, Ordering::SeqCst);
    }

    fn read(&self) -> (u64, u64) {
        (self.sent.load(Ordering::SeqCst), self.served.load(Ordering::SeqCst))
    }
}

fn keep_calling(number: usize, address: SocketAddr, record: &Record, counts: &Arc<Counts>) {
    let name = format!("c{number:x}");
    let mut stays = Client::new(&name, address, record);
    let mut leaves = Client::new(&format!("{name}e"), address, record).leaving_after(PATIENCE);
    let counts = Arc::clone(counts);
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(25 * number as u64));
        loop {
            let is_early = number < LEAVING_CLIENTS && counts.leaves.load(Ordering::SeqCst);
            let client = if is_early { &mut leaves } else { &mut stays };
            let path =
                if number % 3 == 0 { ("GET", "/read/level") } else { ("POST", "/order/sluice") };
            let (_, answered) = client.call(path.0, path.1, "");
            counts.sent.fetch_add(1, Ordering::SeqCst);
            let is_served = answered.is_ok_and(|answer| answer.status() == 200);
            counts.served.fetch_add(u64::from(is_served), Ordering::SeqCst);
            thread::sleep(THINKING);
        }
    });
}

pub fn run(mut world: World) {
    world.use_grown_bounds();
    (1..=ENTRIES).for_each(|host| world.check_host(host));
    let record = world.record.clone();
    let store = Store::start(world.listen(250));
    store.put("config", "main", &crate::manifest_with(MAX_CHANNELS, &[]));
    let zones = ["cz-central-a", "cz-central-b", "cz-central-c"];
    let replicas: Vec<Replica> = zones
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let (id, listener) = (format!("i-0{index}"), world.listen(100 + index as u8));
            Replica::start((&id, "vrbovka", zone), listener, &store, &record, None)
        })
        .collect();
    let entries: Vec<SocketAddr> = (1..=ENTRIES)
        .map(|host| {
            let name = format!("edge-{host:02}");
            world.start_gateway(&name, zones[usize::from(host) % 3], host, store.address)
        })
        .collect();
    let entry = entries[0];
    thread::sleep(Duration::from_secs(3));
    let counts: Arc<Counts> = Arc::default();
    (0..CLIENTS).for_each(|number| keep_calling(number, entry, &record, &counts));
    thread::sleep(COUNTED);
    let (sent_before, served_before) = counts.read();
    record.note(&format!("before: {served_before} of {sent_before} served"));
    counts.leaves.store(!world.is_calm, Ordering::SeqCst);
    for number in 1..=CUTS {
        if world.is_calm {
            thread::sleep(CUT + PAUSE);
            continue;
        }
        let queued: Vec<_> = thread::scope(|scope| {
            let cuts: Vec<_> =
                replicas.iter().map(|replica| scope.spawn(|| replica.cut_off())).collect();
            cuts.into_iter().map(|cut| cut.join().expect("it does not panic")).collect()
        });
        record.note(&format!("cut {number}: the replicas are cut off from the entries"));
        thread::sleep(CUT);
        replicas.iter().zip(queued).for_each(|(replica, queued)| replica.reconnect(queued));
        record.note(&format!("cut {number} is over"));
        counts.restart();
        thread::sleep(PAUSE);
        let (sent, served) = counts.read();
        record.note(&format!("after cut {number}: {served} of {sent} served"));
    }
    counts.leaves.store(false, Ordering::SeqCst);
    thread::sleep(RECOVER);
    counts.restart();
    thread::sleep(COUNTED);
    let (sent, served) = counts.read();
    record.note(&format!(
        "one entry: {served} of {sent} requests sent over {} s after the last cut are served, {} of {} \
         before",
        RECOVER.as_secs(),
        served_before,
        sent_before
    ));
    world.finish(served * 4 < sent && served_before * 4 >= sent_before);
}
