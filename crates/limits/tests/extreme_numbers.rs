//! Quotas and limits with numbers at the ends of their ranges, as a configuration, a server or another
//! entry may state them.

use base::prelude::*;
use catalog::WorkspaceName;
use limits::{
    LimitAllowances, LimitGrant, LimitLedger, LimitQuery, LimitSighting, QueryNumber,
    quotas::{
        AccountId, AccountRole, AskerId, MemberChange, QuotaAllowances, QuotaGrant, QuotaLedger,
        QuotaQuery, QuotaTerms, QuotaTolerance, ReturnedTokens,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use roster::InstanceId;

const SEEDS: u64 = 300;
const STEPS: usize = 60;
const AMOUNTS: [f64; 8] = [0.0, f64::MIN_POSITIVE, 1e-300, 1.0, 5e3, 1.9e19, 1e308, f64::MAX];
const MILLIS: [u64; 5] = [0, 1, 90, 5_000, u32::MAX as u64];

fn amount(rng: &mut ChaCha8Rng) -> f64 {
    AMOUNTS[rng.random_range(0..AMOUNTS.len())]
}

fn span(rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(MILLIS[rng.random_range(0..MILLIS.len())])
}

fn workspace() -> WorkspaceName {
    WorkspaceName("w".into())
}

fn terms(rng: &mut ChaCha8Rng) -> QuotaTerms {
    QuotaTerms { rate: amount(rng).max(f64::MIN_POSITIVE), burst: amount(rng).min(1.9e19) }
}

fn query(rng: &mut ChaCha8Rng, account: AccountId, now: Instant) -> QuotaQuery {
    let returned = ReturnedTokens { account, tokens: amount(rng), granted: now };
    QuotaQuery {
        workspace: workspace(),
        number: QueryNumber(rng.random()),
        wanted: amount(rng),
        first: amount(rng),
        ahead: amount(rng),
        turned_away: amount(rng),
        returned: vec![returned],
        unanswered: rng.random(),
        first_number: QueryNumber(0),
    }
}

fn drive_ledger(rng: &mut ChaCha8Rng) {
    let mut now = Instant::now();
    let mut ledger = QuotaLedger::new(QuotaTolerance::default(), u64::MAX, now);
    let mut account = AccountId(0);
    for _ in 0..STEPS {
        match rng.random_range(0..8) {
            0 => ledger.apply_terms([(workspace(), terms(rng))], now),
            1 => drop(ledger.set_heard(rng.random_range(1..4), rng.random_range(1..4), now)),
            2 => ledger.record_change(MemberChange::Lost, now),
            3 => drop(ledger.take_over(&workspace(), amount(rng) - amount(rng), now)),
            4 => drop(ledger.hand_over(&workspace(), now)),
            5 => ledger.ensure_account(&workspace(), now),
            6 => now += span(rng),
            _ => {
                let asker = AskerId(rng.random_range(0..3));
                let query = query(rng, account, now);
                let grant = ledger.answer(&query, asker, AccountRole::Owner, now);
                account = grant.account.unwrap_or(account);
            }
        }
    }
}

fn drive_allowances(rng: &mut ChaCha8Rng) {
    let mut now = Instant::now();
    let mut allowances = QuotaAllowances::default();
    for _ in 0..STEPS {
        let cost = rng.random_range(0..3) * (u64::MAX / 3);
        let _ = allowances.request(&workspace(), cost as f64, span(rng), now + span(rng), now);
        for query in allowances.due_queries(now) {
            let grant = QuotaGrant {
                account: Some(AccountId(1)),
                tokens: amount(rng),
                next_query: span(rng),
                room_after: span(rng),
                is_recent: rng.random(),
                ..QuotaGrant::unknown(&query)
            };
            let _ = allowances.apply_grant(&grant, now);
        }
        let _ = allowances.refuse_late(now);
        now += span(rng);
    }
}

fn drive_limits(rng: &mut ChaCha8Rng) {
    let mut now = Instant::now();
    let server: InstanceId = "s-1".parse().expect("a valid name");
    let (mut ledger, mut allowances) = (LimitLedger::default(), LimitAllowances::default());
    for _ in 0..STEPS {
        let limit = Some(EventRate(amount(rng)));
        let sighting = LimitSighting { server: server.clone(), started: None, limit, seen: now };
        let _ = allowances.record_answer(sighting.clone(), now);
        let wanted = usize::try_from(rng.random::<u32>()).unwrap_or(1);
        if let Some(query) = allowances.query(&server, None, wanted, span(rng), now) {
            let grant = ledger.answer(&query, usize::MAX, now).grant;
            let _ = allowances.apply_grant(grant, now);
        }
        let query = LimitQuery {
            sighting: sighting.clone(),
            number: QueryNumber(0),
            wanted: u32::MAX,
            max_wait: span(rng),
            unanswered: u32::MAX,
        };
        let _ = ledger.answer(&query, 1, now);
        let slots = vec![span(rng), span(rng)];
        let grant = LimitGrant { sighting, number: QueryNumber(0), slots, next_query: span(rng) };
        let _ = allowances.apply_grant(grant, now);
        let _ = allowances.forecast(&server, None, wanted, now);
        now += span(rng);
    }
}

#[test]
fn quotas_and_limits_with_extreme_numbers_stop_nothing() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);

        drive_ledger(&mut rng);
        drive_allowances(&mut rng);
        drive_limits(&mut rng);
    }
}
