//! A stand-in of the platform and a work directory, for commands that read or edit the lists.

use std::{path::PathBuf, process::Output};

use super::{Process, WorkDir, fescuewalk, run};

pub const PLANS: &str = "[customer crew]\nplan = field\n\
    key-hash = 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae\n\
    home-region = cz-central\n";
pub const RIGHTS: &str = "[plan field]\npriority = 1\nshare = 30\nmodels = summary\n\
    [service rosnatka]\nkind = engine\nreplicas = 12\nmemory = 80GiB\n\
    [model summary]\nservice = rosnatka\nreplicas = 2\nmemory = 14GiB\n";

pub struct PlatformFixture {
    dir: WorkDir,
    platform: Process,
}

impl PlatformFixture {
    pub fn new(name: &str) -> Self {
        let mut command = fescuewalk();
        command.args(["standin", "platform"]);
        let platform = Process::start(command);
        Self { dir: WorkDir::new(name), platform }
    }

    /// Runs a command with `--platform` and the files of both lists as its arguments.
    pub fn run(&self, args: &[&str], plans: &str, rights: &str) -> Output {
        let plans = self.dir.write("plans.ini", plans);
        let rights = self.dir.write("rights.ini", rights);
        let platform = self.platform_address();
        let mut all = vec![args[0], "--platform", &platform];
        all.extend(&args[1..]);
        all.extend([plans.to_str().unwrap(), rights.to_str().unwrap()]);
        run(&all)
    }

    /// Runs `apply` for lists that were read at the version `read_at`.
    pub fn apply(&self, read_at: &str, plans: &str, rights: &str) -> Output {
        self.run(&["apply", "--read-at", read_at, "--operator", "jana"], plans, rights)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        self.dir.write(name, text)
    }

    /// Creates an empty file and returns its path.
    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.write(name, "")
    }

    pub fn platform_address(&self) -> String {
        self.platform.address("http").to_string()
    }
}

pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

pub fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}
