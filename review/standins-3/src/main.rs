//! Cases of the third review. Usage: `standins-3 CASE RECORD`, from the root of the repository. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod crash;
mod http;
mod machine;
mod memory;
mod names;

mod record;
mod store;
mod upload;

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::Arc;

use crate::record::Record;

/// What a case needs to run.
pub struct Case {
    pub record: Arc<Record>,
    /// Folder for settings and logs, removed at the end.
    pub dir: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// Whether the rule was broken, or why the case could not run.
pub type Verdict = Result<bool, String>;

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, name, record] = &args[..] else {
        eprintln!("usage: standins-3 CASE RECORD");
        process::exit(2);
    };
    let code = match play(name, Path::new(record)) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(why) => {
            eprintln!("{why}");
            2
        }
    };
    process::exit(code);
}

fn play(name: &str, record: &Path) -> Verdict {
    if !Path::new("target/release/sycamorewick").exists() {
        return Err("target/release/sycamorewick is not built".to_owned());
    }
    let record = Record::create(record).map_err(|e| e.to_string())?;
    let dir = env::temp_dir().join(format!("review-3-{name}-{}", process::id()));
    fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let case = Case {
        record: Arc::new(record),
        dir: dir.clone(),
        trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    case.record
        .line(&format!("case {name}, disruption: {}", case.trouble));
    let verdict = match name {
        "memory" => memory::play(&case),
        "crash" => crash::play(&case),
        "tenant" => names::play_tenant(&case),
        "route" => names::play_route(&case),
        "upload" => upload::play(&case),
        _ => Err(format!("there is no case {name}")),
    };
    machine::end_all();
    case.record.line(&match &verdict {
        Ok(true) => "verdict: the rule is broken".to_owned(),
        Ok(false) => "verdict: the rule holds".to_owned(),
        Err(why) => format!("verdict: could not run: {why}"),
    });
    if env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&dir);
    }
    verdict
}
