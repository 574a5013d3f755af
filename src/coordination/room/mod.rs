//! Bounds on what a backend server or a process takes at a time.
