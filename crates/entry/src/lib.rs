//! The entry process that accepts requests from callers.
