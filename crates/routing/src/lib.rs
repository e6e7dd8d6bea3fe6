//! Choice of owner and backend server, hedges, retries and quarantine.
