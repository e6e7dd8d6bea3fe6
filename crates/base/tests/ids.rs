//! Parsing of identifiers, sizes and time spans, and properties of result codes.

use std::{fmt::Display, str::FromStr};

use base::prelude::*;
use rstest::rstest;

fn round_trip<T>(text: &str) -> String
where
    T: FromStr + Display,
    T::Err: std::fmt::Debug,
{
    text.parse::<T>().unwrap().to_string()
}

#[rstest]
#[case("llama-7b")]
#[case("rosnatka/reports@2")]
fn text_ids_round_trip(#[case] text: &str) {
    let shown = round_trip::<ModelId>(text);

    assert_eq!(shown, text);
}

#[rstest]
#[case("")]
#[case("two words")]
#[case("line\nbreak")]
fn bad_text_ids_are_refused(#[case] text: &str) {
    let parsed = text.parse::<CustomerId>();

    assert!(parsed.is_err());
}

#[rstest]
#[case("80GiB", 80 << 30)]
#[case("512KiB", 512 << 10)]
#[case("7B", 7)]
fn sizes_are_parsed_with_their_unit(#[case] text: &str, #[case] bytes: u64) {
    let size = text.parse::<ByteSize>().unwrap();

    assert_eq!(size, ByteSize(bytes));
    assert_eq!(size.to_string(), text);
}

#[rstest]
#[case("260.0MiB", 260 << 20)]
#[case("0.5KiB", 512)]
fn sizes_may_have_a_fraction(#[case] text: &str, #[case] bytes: u64) {
    let size = text.parse::<ByteSize>().unwrap();

    assert_eq!(size, ByteSize(bytes));
}

#[rstest]
#[case("80")]
#[case("80GB")]
#[case("-1GiB")]
#[case("1e3GiB")]
#[case("infGiB")]
#[case("1.2.3GiB")]
#[case("99999999999.5TiB")]
#[case("99999999999TiB")]
fn bad_sizes_are_refused(#[case] text: &str) {
    assert!(text.parse::<ByteSize>().is_err());
}

#[rstest]
#[case("250ms", 250)]
#[case("13s", 13_000)]
#[case("10min", 600_000)]
#[case("2h", 7_200_000)]
#[case("8.5s", 8_500)]
#[case("2000.0ms", 2_000)]
fn spans_are_parsed_with_their_unit(#[case] text: &str, #[case] millis: u64) {
    let span = text.parse::<TimeSpan>().unwrap();

    assert_eq!(span.0, Duration::from_millis(millis));
}

#[rstest]
#[case("s")]
#[case("-1.5s")]
#[case("1e3s")]
#[case("nans")]
#[case("1.2.3s")]
#[case("99999999999999999999.5h")]
fn bad_spans_are_refused(#[case] text: &str) {
    assert!(text.parse::<TimeSpan>().is_err());
}

#[test]
fn request_ids_round_trip() {
    let id = RequestId::random();

    let parsed = id.to_string().parse::<RequestId>().unwrap();

    assert_eq!(parsed, id);
}

#[test]
fn code_numbers_are_unique_and_give_the_run_state() {
    for code in ResultCode::ALL {
        let found = ResultCode::from_number(code.number());

        assert_eq!(found, Some(*code));
        let expected = match code.number() {
            1000..2000 => RunState::NotRun,
            _ => RunState::MayHaveRun,
        };
        assert_eq!(code.run_state(), expected);
    }
}

#[test]
fn key_hash_is_hexadecimal() {
    let hash = KeyHash::of_key("secret");

    assert_eq!(hash.as_str().len(), 64);
    assert_eq!(hash.to_string().parse::<KeyHash>(), Ok(hash));
}
