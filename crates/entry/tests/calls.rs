//! Names of services in the paths of calls.

use base::prelude::*;
use entry::calls::service_name;
use rstest::rstest;

/// Guards against services that callers cannot reach because their names are encoded in the path.
#[rstest]
#[case("/services/orders", "orders")]
#[case("/services/orders/a%2Fb", "orders")]
#[case("/services/orders?a/b", "orders")]
#[case("/services/team%2Forders/a", "team/orders")]
#[case("/services/orders%40v2%3Ab/a", "orders@v2:b")]
#[case("/services/%6frders/a", "orders")]
#[case("/services/orders%2541/a", "orders%41")]
#[case("/services/orders+a/a", "orders+a")]
#[case("/services//a", "")]
#[case("/services/", "")]
fn service_name_is_decoded_once(#[case] path: &str, #[case] name: &str) {
    assert_eq!(service_name(path), Ok(name.to_owned()));
}

#[rstest]
#[case("/services/%FF/a")]
#[case("/services")]
#[case("/other/orders")]
fn path_without_a_service_is_refused(#[case] path: &str) {
    assert_eq!(service_name(path), Err(ResultCode::UnknownModel));
}
