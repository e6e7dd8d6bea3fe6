//! Loading models: the memory ledger, the weight store's gate and the keep-warm policy.
