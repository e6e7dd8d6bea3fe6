//! What requests are charged for beside their bodies.

use gateway::{memory_budget::SMALL_HEAD, request_memory};
use http::Request;
use rstest::rstest;

/// Guards against ordinary heads that are kept from the reserve, and large ones that use it up.
#[rstest]
#[case::ordinary(12, 40, true)]
#[case::many_short_headers(100, 1, false)]
#[case::longest(100, 154, false)]
fn large_heads_do_not_count_as_small(
    #[case] headers: usize,
    #[case] value_length: usize,
    #[case] is_small: bool,
) {
    let mut request = Request::post("/order/a");
    for header in 0..headers {
        request = request.header(format!("x{header:02}"), "v".repeat(value_length));
    }
    let (parts, ()) = request.body(()).expect("valid headers").into_parts();

    let memory = request_memory::of_head(&parts);

    assert_eq!(memory <= SMALL_HEAD, is_small, "{memory}");
}
