//! Not implemented yet.
