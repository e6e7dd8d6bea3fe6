//! Limits for callers that contradict each other.

use super::finding::{Finding, FindingKind, LimitField, Place};
use crate::routes::CallerLimits;

pub(super) fn check(limits: &CallerLimits) -> Vec<Finding> {
    let CallerLimits { max_head: head, max_body: body, head_timeout, idle_timeout: idle } = *limits;
    let zeros = [
        (LimitField::MaxHead, head.0 == 0),
        (LimitField::MaxBody, body.0 == 0),
        (LimitField::HeadTimeout, head_timeout.is_zero()),
        (LimitField::IdleTimeout, idle.is_zero()),
    ];
    let zeros = zeros.into_iter().filter(|(_, is_zero)| *is_zero);
    let mut found: Vec<(LimitField, FindingKind)> =
        zeros.map(|(field, _)| (field, FindingKind::ZeroLimit)).collect();
    if head > body && body.0 > 0 {
        found.push((LimitField::MaxHead, FindingKind::HeadAboveBody { head, body }));
    }
    if idle < head_timeout && !idle.is_zero() {
        let kind = FindingKind::IdleBelowHeadTimeout { idle, head: head_timeout };
        found.push((LimitField::IdleTimeout, kind));
    }
    found.into_iter().map(|(field, kind)| Finding::new(Place::Limit(field), kind)).collect()
}
