//! Reports for operators: the account of an edit and the burn of service levels.
