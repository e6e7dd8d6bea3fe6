//! Admission of requests: shares, priorities, classes, queues and deadlines.
