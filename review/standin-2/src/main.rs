//! Runs one case of the review: `review-standin-2 CASE RECORD FOLDER`. The case writes what was sent,
//! answered and run to RECORD, and keeps settings and logs of processes in FOLDER. Ends with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption
//! out.

mod crowd;
mod endless_refusal;
mod gateway;
mod held_bodies;
mod http;
mod manifest_storm;
mod replica;
mod store;

use std::{
    env,
    fmt::Display,
    fs::File,
    io::{self, Write},
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Mutex,
    time::Instant,
};

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
}

/// The record of one play, with the time since its start before each line.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn line(&self, text: impl Display) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics with the lock");
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

/// What all cases get.
pub struct Play {
    pub record: Record,
    pub folder: PathBuf,
    pub has_trouble: bool,
}

fn run(args: &[String]) -> io::Result<Verdict> {
    let [case, record, folder] = args else {
        return Err(io::Error::other("usage: review-standin-2 CASE RECORD FOLDER"));
    };
    let record = Record { file: Mutex::new(File::create(record)?), started: Instant::now() };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let play = Play { record, folder: Path::new(folder).to_owned(), has_trouble };
    play.record.line(format!("case {case}, trouble {}", u8::from(has_trouble)));
    let verdict = match case.as_str() {
        "crowd" => crowd::run(&play)?,
        "manifest-storm" => manifest_storm::run(&play)?,
        "held-bodies" => held_bodies::run(&play)?,
        "endless-refusal" => endless_refusal::run(&play)?,
        other => return Err(io::Error::other(format!("unknown case {other}"))),
    };
    play.record.line(match verdict {
        Verdict::Held => "verdict: the rule held",
        Verdict::Broken => "verdict: the rule was broken",
    });
    Ok(verdict)
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    match run(&args) {
        Ok(Verdict::Held) => ExitCode::from(0),
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
