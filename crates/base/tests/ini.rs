//! Parsing of INI files and collection of their faults.

use base::{
    ini::{IniFile, SectionReader},
    prelude::*,
};

fn parse(text: &str) -> IniFile {
    IniFile::parse("test.ini", text).unwrap()
}

#[test]
fn sections_and_entries_have_line_numbers() {
    let text = "; comment\n[plan gold]\n\nshare = 3\n";

    let file = parse(text);

    assert_eq!(file.sections[0].name, "plan gold");
    assert_eq!(file.sections[0].line, 2);
    assert_eq!(file.sections[0].entries[0].line, 4);
    assert_eq!(file.sections[0].entries[0].value, "3");
}

#[test]
fn line_without_a_value_is_a_fault() {
    let parsed = IniFile::parse("test.ini", "[a]\nnonsense\n");

    let faults = parsed.unwrap_err().faults;
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].line, 2);
}

#[test]
fn all_faults_of_a_section_are_listed() {
    let file = parse("[a]\nmemory = 80GB\nshare = 3\nshare = 4\nwhat = x\n");
    let mut reader = SectionReader::new("test.ini", &file.sections[0]);

    let memory = reader.required::<ByteSize>("memory", "a size such as 80GiB");
    let share = reader.required::<ShareWeight>("share", "a share from 1 to 10000");
    let zone = reader.required::<ZoneName>("zone", "the name of an availability zone");
    let faults = reader.finish();

    assert_eq!(memory, None);
    assert_eq!(share, Some(ShareWeight(3)));
    assert_eq!(zone, None);
    let lines: Vec<_> = faults.iter().map(|fault| (fault.line, fault.key.as_str())).collect();
    assert_eq!(lines, [(2, "memory"), (1, "zone"), (4, "share"), (5, "what")]);
}

#[test]
fn arbitrary_text_never_panics() {
    use proptest::{prelude::*, test_runner::TestRunner};

    let mut runner = TestRunner::deterministic();

    runner
        .run(&any::<String>(), |text| {
            let _ = IniFile::parse("arbitrary.ini", &text);
            Ok(())
        })
        .unwrap();
}

#[test]
fn unknown_and_repeated_sections_are_faults() {
    let text = "[a]\nshare = 3\n[b]\n[a]\n";
    let mut reader = base::ini::SettingsReader::new("test.ini", text).unwrap();

    let share = reader.section("a", |section| section.required::<ShareWeight>("share", "a share"));
    let faults = reader.finish(share).unwrap_err().faults;

    let lines: Vec<_> = faults.iter().map(|fault| fault.line).collect();
    assert_eq!(lines, [3, 4]);
}
