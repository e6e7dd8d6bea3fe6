//! `fescuewalk entry` and `fescuewalk-side FILE` where nobody reads what they write, and where an address is
//! taken as they start.

mod support;

use std::{
    fs::{self, File},
    io::{Write, pipe},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use rstest::rstest;
use support::{
    WorkDir, fescuewalk, fescuewalk_side,
    memory::{fetch_status, terminate},
};
use tokio::time;

/// What a pipe holds by default, in bytes.
const PIPE_CAPACITY: usize = 65_536;
/// Time in which a process that ends by itself has ended.
const END_TIME: Duration = Duration::from_secs(1);
/// Time in which a stopped process without work ends.
const STOP_TIME: Duration = Duration::from_secs(3);

/// A program of the product's own interface.
#[derive(Debug, Clone, Copy)]
enum Program {
    Entry,
    Side,
}

impl Program {
    /// Peer and HTTP address on a loopback host of one case.
    fn addresses(self, case: u8) -> [SocketAddr; 2] {
        let host = Ipv4Addr::new(127, 44, 5 + self as u8, case);
        [7_000, 8_080].map(|port| SocketAddr::from((host, port)))
    }

    fn command(self, dir: &WorkDir, case: u8) -> Command {
        let [peers, http] = self.addresses(case);
        let (mut command, backend) = match self {
            Program::Entry => (fescuewalk(), ""),
            Program::Side => (
                fescuewalk_side(),
                "[backend]\nkind = plain\nservice = orders\naddress = 127.0.0.1:9\n",
            ),
        };
        let settings = format!(
            "[log]\nlevel = trace\nformat = json\n[process]\nvm = vm-0\nzone = a\nregion = b\n\
             secret = test-secret\npeer-address = {peers}\nhttp-address = {http}\n{backend}\
             [platform]\naddress = 127.0.0.1:9\n"
        );
        if matches!(self, Program::Entry) {
            command.arg("entry");
        }
        command.arg(dir.write("settings.ini", &settings));
        command
    }
}

async fn assert_ends(mut child: Child) {
    let status = time::timeout(STOP_TIME, terminate(&mut child)).await;
    // Both fail only if the process has ended.
    let _ = child.kill();
    let _ = child.wait();
    let code = status.ok().flatten().and_then(|status| status.code());
    assert_eq!(code, Some(0), "it did not end in time with status 0");
}

/// Guards against a process that neither serves nor ends because nobody reads its outputs.
#[rstest]
#[tokio::test]
async fn process_whose_outputs_are_not_read_serves_and_ends(
    #[values(Program::Entry, Program::Side)] program: Program,
) {
    let dir = WorkDir::new("unread");
    let (_unread, mut output) = pipe().expect("descriptors are left");
    output.write_all(&[b'\n'; PIPE_CAPACITY]).expect("the pipe has this capacity");
    let log = output.try_clone().expect("descriptors are left");

    let child = program.command(&dir, 1).stdout(output).stderr(log).spawn();
    let child = child.expect("the program starts");
    let [_, http] = program.addresses(1);
    let status = fetch_status(http, "/healthz").await;

    assert_ends(child).await;
    assert_eq!(status.as_deref(), Some("200"));
}

/// Guards against a process that ends because an address is taken, or that does not say what it waits for.
#[rstest]
#[tokio::test]
async fn address_that_is_freed_after_the_start_is_taken_then(
    #[values(Program::Entry, Program::Side)] program: Program,
    #[values(0, 1)] taken: usize,
) {
    let dir = WorkDir::new("taken");
    let case = 2 + taken as u8;
    let addresses = program.addresses(case);
    let earlier = TcpListener::bind(addresses[taken]).expect("the host is free");
    let log = dir.write("log", "");

    let mut command = program.command(&dir, case);
    command.stdout(Stdio::null()).stderr(File::create(&log).expect("it is writable"));
    let child = command.spawn().expect("the program starts");
    thread::sleep(END_TIME);
    let waiting = fs::read_to_string(&log).expect("it is text");
    drop(earlier);
    let status = fetch_status(addresses[1], "/healthz").await;

    assert_ends(child).await;
    assert_eq!(status.as_deref(), Some("200"));
    let address = addresses[taken].to_string();
    assert!(waiting.contains(&address) && waiting.contains("trying again"), "{waiting}");
}
