//! Entry point: parses the arguments, builds one `Config`, runs it and returns its exit code.

fn main() {}
