//! Reloading of the settings file.

use std::{fs, path::PathBuf};

use base::signals::SettingsWatch;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the test directory is writable");
    path
}

#[tokio::test]
async fn sighup_rereads_the_file_without_ending_the_process() {
    let path = write_file("hang-up.ini", "a = 1");
    let mut watch = SettingsWatch::start(&path, "a = 1").expect("signals can be received");

    kill(Pid::this(), Signal::SIGHUP).expect("the process can signal itself");
    let text = watch.reread().await.expect("the file is there");

    assert_eq!(text, "a = 1");
}

#[tokio::test(start_paused = true)]
async fn changed_file_is_read_without_a_signal() {
    let path = write_file("polled.ini", "a = 2");
    let mut watch = SettingsWatch::start(&path, "a = 1").expect("signals can be received");

    let text = watch.reread().await.expect("the file is there");

    assert_eq!(text, "a = 2");
}
