//! Settings that are read again.

use std::{fs, path::PathBuf};

use base::signals::SettingsWatch;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the directory of tests can be written");
    path
}

#[tokio::test]
async fn a_hang_up_asks_for_the_settings_and_does_not_end_the_process() {
    let path = file("hang-up.ini", "a = 1");
    let mut watch = SettingsWatch::start(&path, "a = 1").expect("signals can be received");

    kill(Pid::this(), Signal::SIGHUP).expect("the process can signal itself");
    let text = watch.reread().await.expect("the file is there");

    assert_eq!(text, "a = 1");
}

#[tokio::test(start_paused = true)]
async fn a_file_that_changes_without_a_signal_is_noticed() {
    let path = file("silent.ini", "a = 2");
    let mut watch = SettingsWatch::start(&path, "a = 1").expect("signals can be received");

    let text = watch.reread().await.expect("the file is there");

    assert_eq!(text, "a = 2");
}
