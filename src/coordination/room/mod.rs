//! Bounds on what a backend server or a process takes at a time.

pub mod cold_start;
