//! sched.
