//! The operators' two lists: parsing, checking, editing and spreading them.
