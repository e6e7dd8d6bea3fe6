//! `fescuewalk entry` and `fescuewalk-side FILE` run on through what ends a process by default.

mod support;

use std::{io::pipe, process::Stdio, thread, time::Duration};

use support::{Process, WorkDir, fescuewalk, fleet::start_fleet};

/// Time in which a process that ends by itself has ended.
const END_TIME: Duration = Duration::from_secs(1);

fn is_running(process: &Process) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap_or_default();
    // A process that has ended is a zombie until its parent waits for it.
    stat.rsplit(") ").next().is_some_and(|rest| !rest.is_empty() && !rest.starts_with('Z'))
}

/// Guards against a process that ends because its terminal or supervisor hangs up.
#[tokio::test]
async fn hang_up_ends_no_process() {
    let fleet = start_fleet().await;
    let processes = || fleet.entries.iter().chain(&fleet.sides);

    processes().for_each(|process| process.signal("HUP"));
    thread::sleep(END_TIME);

    let ended: Vec<u32> =
        processes().filter(|process| !is_running(process)).map(Process::id).collect();
    assert!(ended.is_empty(), "{ended:?}");
}

/// Guards against a process that ends because nobody reads its standard output.
#[test]
fn closed_output_does_not_end_the_start() {
    let dir = WorkDir::new("entry-output");
    let path = dir.write(
        "entry.ini",
        "[log]\nlevel = info\nformat = json\n[process]\nvm = entry-0\nzone = a\nregion = b\n\
         secret = test-secret\npeer-address = 127.0.0.1:0\nhttp-address = 127.0.0.1:0\n\
         [platform]\naddress = 127.0.0.1:9\n",
    );
    let (reader, output) = pipe().expect("descriptors are left");
    drop(reader);

    let mut child = fescuewalk()
        .arg("entry")
        .arg(&path)
        .stdout(output)
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    thread::sleep(END_TIME);
    let ended = child.try_wait().expect("it is a child");
    // Both fail only if the process has ended.
    let _ = child.kill();
    let _ = child.wait();

    assert!(ended.is_none(), "{ended:?}");
}
