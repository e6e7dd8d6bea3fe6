//! Messages and framing between the processes of the system.
