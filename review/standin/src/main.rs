//! Plays one case of the review: `standin CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held,
//! 2 if the case could not run.

mod cases;
mod http;
mod proxy;
mod store;
mod world;

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, record) = (
        args.next().unwrap_or_default(),
        args.next().unwrap_or_default(),
    );
    std::process::exit(cases::run(&case, world::Record::new(&record)));
}
