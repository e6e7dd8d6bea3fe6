//! The side process that runs beside each backend server.
