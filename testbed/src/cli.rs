//! Arguments of the `testbed` binary.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use eyre::WrapErr;
use futures_util::future::Either;
use testbed::backend_server::BackendOptions;
use testbed::backend_server::BackendServer;
use testbed::backend_server::Downstream;
use testbed::backend_server::Fault;
use testbed::backend_server::ServiceTime;
use testbed::caller;
use testbed::caller::CallerOptions;
use testbed::caller::Keys;
use testbed::log_server::LogControlChange;
use testbed::log_server::LogServer;
use testbed::log_server::Outage;
use testbed::measure::convergence;
use testbed::measure::convergence::ConvergenceOptions;
use testbed::measure::latency;
use testbed::measure::latency::LatencyOptions;
use testbed::measure::rollback;
use testbed::measure::rollback::RollbackOptions;
use testbed::measure::workspaces;
use testbed::measure::workspaces::WorkspacesOptions;
use testbed::platform::backend::PlatformBackend;
use testbed::platform::backend::PlatformBackendOptions;
use testbed::platform::store::StoreServer;
use testbed::relay;

/// Exit code of a backend server that crashed on purpose.
const CRASH_EXIT_CODE: u8 = 134;
/// Interval between checks whether a backend server still runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Parses the arguments and runs the subcommand.
///
/// # Errors
/// Returns the failure of the subcommand.
pub fn run() -> eyre::Result<ExitCode> {
    match command().get_matches().subcommand() {
        Some(("log", args)) => log(args),
        Some(("backend", args)) => backend(args),
        Some(("caller", args)) => call(args),
        Some(("relay", args)) => relay(args),
        Some(("platform-store", args)) => platform_store(args),
        Some(("platform-backend", args)) => platform_backend(args),
        Some(("measure", args)) => measure(args),
        _ => Ok(ExitCode::FAILURE),
    }
}

fn command() -> Command {
    Command::new("testbed")
        .about("Stand-ins for the systems around the nodes, and the measuring tool")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(log_command())
        .subcommand(backend_command())
        .subcommand(caller_command())
        .subcommand(relay_command())
        .subcommand(platform_store_command())
        .subcommand(platform_backend_command())
        .subcommand(measure_command())
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn log_command() -> Command {
    Command::new("log")
        .about("Run the append-only log in memory; POST /control changes its settings")
        .arg(
            option("listen", "ADDR", "Listen address")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:7500"),
        )
        .arg(
            option("delay-ms", "MS", "Delay added to each request")
                .value_parser(value_parser!(u64))
                .default_value("0"),
        )
        .arg(
            option(
                "retention",
                "RECORDS",
                "Records retained per stream; 0 for all",
            )
            .value_parser(value_parser!(usize))
            .default_value("0"),
        )
        .arg(
            option("append-rate", "N", "Appends per second; 0 for no limit")
                .value_parser(value_parser!(u32))
                .default_value("0"),
        )
        .arg(
            option("outage", "KIND", "Start with an outage")
                .value_parser(["off", "refuse", "hang"])
                .default_value("off"),
        )
}

fn log(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let mut log = LogServer::start(*required(args, "listen")?).wrap_err("cannot start the log")?;
    log.change(&LogControlChange {
        outage: Some(match required::<String>(args, "outage")?.as_str() {
            "refuse" => Outage::Refuse,
            "hang" => Outage::Hang,
            _ => Outage::Off,
        }),
        delay_ms: Some(*required(args, "delay-ms")?),
        retention: Some(*required(args, "retention")?),
        append_rate: Some(*required(args, "append-rate")?),
        lose_answers: None,
    });
    println!("log listens on {}", log.addr());
    actix_rt::System::new().block_on(wait_for_stop());
    log.stop();
    Ok(ExitCode::SUCCESS)
}

fn relay_command() -> Command {
    Command::new("relay")
        .about("Forward requests to a fixed server, as a baseline for the nodes")
        .arg(
            option("listen", "ADDR", "Listen address")
                .value_parser(value_parser!(SocketAddr))
                .required(true),
        )
        .arg(
            option("to", "ADDR", "Next server")
                .value_parser(value_parser!(SocketAddr))
                .required(true),
        )
}

fn relay(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let (listen, to) = (*required(args, "listen")?, *required(args, "to")?);
    actix_rt::System::new().block_on(relay::run(listen, to))?;
    Ok(ExitCode::SUCCESS)
}

fn platform_store_command() -> Command {
    Command::new("platform-store")
        .about("Run the stand-in for the platform's store; POST /control changes its settings")
        .arg(
            option("listen", "ADDR", "Listen address")
                .value_parser(value_parser!(SocketAddr))
                .required(true),
        )
}

fn platform_store(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let store =
        StoreServer::start(*required(args, "listen")?).wrap_err("cannot start the store")?;
    println!("store listens on {}", store.addr());
    actix_rt::System::new().block_on(wait_for_stop());
    Ok(ExitCode::SUCCESS)
}

fn platform_backend_command() -> Command {
    let addr = |name, help| {
        option(name, "ADDR", help)
            .value_parser(value_parser!(SocketAddr))
            .required(true)
    };
    let number = |name, default, help| {
        option(name, "N", help)
            .value_parser(value_parser!(u64))
            .default_value(default)
    };
    Command::new("platform-backend")
        .about("Run the stand-in for a backend server of the platform; SIGTERM stops it gracefully")
        .arg(option("id", "ID", "Id of the backend server").required(true))
        .arg(option("service", "NAME", "Service").required(true))
        .arg(option("version-name", "NAME", "Version of the service").required(true))
        .arg(addr("listen", "Listen address"))
        .arg(addr("heartbeat", "Address that heartbeats are sent to"))
        .arg(number("born", "1", "Unix time of the start, milliseconds"))
        .arg(number("slots", "6", "Requests that run at the same time"))
        .arg(number(
            "service-ms",
            "30",
            "Longest service time, milliseconds",
        ))
        .arg(number(
            "pad-bytes",
            "1500",
            "Size of the padding of a response, bytes",
        ))
        .arg(number("seed", "1", "Seed of service times and errors"))
        .arg(
            option(
                "error-rate",
                "SHARE",
                "Share of the requests that get status 500, 0 to 1",
            )
            .value_parser(value_parser!(f64))
            .default_value("0"),
        )
        .arg(option(
            "secret-text",
            "TEXT",
            "Text that no request may contain; a line is printed for each that does",
        ))
}

fn platform_backend(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let size =
        |name| -> eyre::Result<usize> { Ok(usize::try_from(*required::<u64>(args, name)?)?) };
    let mut backend = PlatformBackend::start(PlatformBackendOptions {
        id: required::<String>(args, "id")?.clone(),
        born: *required(args, "born")?,
        service: required::<String>(args, "service")?.clone(),
        version: required::<String>(args, "version-name")?.clone(),
        listen: *required(args, "listen")?,
        heartbeat_addr: *required(args, "heartbeat")?,
        slots: size("slots")?,
        service_ms: *required(args, "service-ms")?,
        error_rate: *required(args, "error-rate")?,
        pad_bytes: size("pad-bytes")?,
        seed: *required(args, "seed")?,
        cold_ms: 0,
        secret_text: args.get_one::<String>("secret-text").cloned(),
    })
    .wrap_err("cannot start the backend server")?;
    actix_rt::System::new().block_on(wait_for_stop());
    backend.request_stop();
    backend.join();
    Ok(ExitCode::SUCCESS)
}

fn backend_command() -> Command {
    Command::new("backend")
        .about("Run a backend server; POST /control changes its faults")
        .arg(
            option("listen", "ADDR", "Listen address")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:0"),
        )
        .arg(option(
            "id",
            "ID",
            "Id, part of each response; SERVICE-VERSION-PID if absent",
        ))
        .arg(option("service", "NAME", "Service").required(true))
        .arg(option("version", "NAME", "Version of the service").required(true))
        .arg(
            option("node", "ADDR", "Request port of the node to announce to")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            option("slots", "N", "Requests that run at the same time")
                .value_parser(value_parser!(u32))
                .default_value("10"),
        )
        .arg(
            option(
                "connections",
                "N",
                "Connections that are served at the same time",
            )
            .value_parser(value_parser!(usize))
            .default_value("100"),
        )
        .arg(
            option("median-us", "US", "Median service time")
                .value_parser(value_parser!(u64))
                .default_value("0"),
        )
        .arg(
            option("p99-us", "US", "99th percentile of the service time")
                .value_parser(value_parser!(u64))
                .default_value("0"),
        )
        .arg(
            option("seed", "N", "Seed of service times and errors")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            option("answer-bytes", "N", "Size of a response body, bytes")
                .value_parser(value_parser!(usize))
                .default_value("512"),
        )
        .arg(
            option(
                "cold-start-ms",
                "MS",
                "Time after the start during which requests are slow",
            )
            .value_parser(value_parser!(u64))
            .default_value("0"),
        )
        .arg(
            option(
                "cold-factor",
                "X",
                "Factor on the service time during the cold start",
            )
            .value_parser(value_parser!(f64))
            .default_value("5"),
        )
        .args(fault_args())
        .args(downstream_args())
}

/// Faults that a backend server starts with.
fn fault_args() -> Vec<Arg> {
    vec![
        option(
            "error-rate",
            "SHARE",
            "Share of the requests that get status 500, 0 to 1",
        )
        .value_parser(value_parser!(f64))
        .default_value("0"),
        option("slowdown", "X", "Factor on the service time")
            .value_parser(value_parser!(f64))
            .default_value("1"),
        option("extra-us", "US", "Delay added to the service time")
            .value_parser(value_parser!(u64))
            .default_value("0"),
        Arg::new("hang")
            .long("hang")
            .help("Accept requests but send no response")
            .action(ArgAction::SetTrue),
        option(
            "fault-path",
            "PREFIX",
            "Prefix of the paths that the faults affect",
        )
        .default_value("/"),
        option(
            "fault-after-calls",
            "N",
            "Number of requests after which the faults start",
        )
        .value_parser(value_parser!(u64))
        .default_value("0"),
        option("fault-after-ms", "MS", "Time after which the faults start")
            .value_parser(value_parser!(u64))
            .default_value("0"),
        option(
            "fault-above",
            "N",
            "The faults are active only while more than this many requests run; 0 for always",
        )
        .value_parser(value_parser!(u32))
        .default_value("0"),
    ]
}

/// Call that a backend server makes for each request that it runs.
fn downstream_args() -> Vec<Arg> {
    vec![
        option(
            "downstream-node",
            "ADDR",
            "Request port of the node that receives the downstream call",
        )
        .value_parser(value_parser!(SocketAddr))
        .requires("downstream-host"),
        option(
            "downstream-host",
            "HOST",
            "Host header of the downstream call",
        ),
        option("downstream-path", "PATH", "Path of the downstream call").default_value("/"),
        option(
            "downstream-for",
            "PREFIX",
            "Prefix of the request paths for which the downstream call is made",
        )
        .default_value("/"),
    ]
}

fn backend(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let service: &String = required(args, "service")?;
    let version: &String = required(args, "version")?;
    let listen: SocketAddr = *required(args, "listen")?;
    let id = match args.get_one::<String>("id") {
        Some(id) => id.clone(),
        None => format!("{service}-{version}-{}", std::process::id()),
    };
    let mut options = BackendOptions::new(&id, service, version);
    options.listen = listen;
    options.node_addr = args.get_one("node").copied();
    options.slots = *required(args, "slots")?;
    options.max_connections = *required(args, "connections")?;
    options.service_time = ServiceTime {
        median_us: *required(args, "median-us")?,
        p99_us: *required(args, "p99-us")?,
    };
    options.seed = *required(args, "seed")?;
    options.response_body_bytes = *required(args, "answer-bytes")?;
    options.cold_start = Duration::from_millis(*required(args, "cold-start-ms")?);
    options.cold_factor = *required(args, "cold-factor")?;
    options.faults = vec![Fault {
        path_prefix: required::<String>(args, "fault-path")?.clone(),
        error_rate: *required(args, "error-rate")?,
        slowdown: *required(args, "slowdown")?,
        extra_us: *required(args, "extra-us")?,
        hang: args.get_flag("hang"),
        crash: false,
        after_calls: *required(args, "fault-after-calls")?,
        after_ms: *required(args, "fault-after-ms")?,
        above_running: *required(args, "fault-above")?,
    }];
    if let Some(node_addr) = args.get_one("downstream-node") {
        options.downstream = vec![Downstream {
            path_prefix: required::<String>(args, "downstream-for")?.clone(),
            node_addr: *node_addr,
            host: required::<String>(args, "downstream-host")?.clone(),
            path: required::<String>(args, "downstream-path")?.clone(),
        }];
    }
    let mut server = BackendServer::start(options).wrap_err("cannot start the backend server")?;
    println!("backend server {id} listens on {}", server.addr());
    actix_rt::System::new().block_on(async {
        let ended = async {
            while server.is_running() {
                actix_rt::time::sleep(CHECK_INTERVAL).await;
            }
        };
        let ended = std::pin::pin!(ended);
        let stop = std::pin::pin!(wait_for_stop());
        futures_util::future::select(ended, stop).await;
    });
    if server.has_crashed() {
        eprintln!("backend server {id} crashed on a request");
        return Ok(ExitCode::from(CRASH_EXIT_CODE));
    }
    server.stop();
    println!("{}", serde_json::to_string(&server.report())?);
    Ok(ExitCode::SUCCESS)
}

fn caller_command() -> Command {
    Command::new("caller")
        .about("Send calls at a fixed rate and print the result as one JSON line")
        .arg(
            option("target", "ADDR", "Address to call; repeat for several")
                .value_parser(value_parser!(SocketAddr))
                .action(ArgAction::Append)
                .value_delimiter(',')
                .required(true),
        )
        .arg(
            option("rate", "N", "Calls per second over all targets")
                .value_parser(value_parser!(f64))
                .default_value("47"),
        )
        .arg(
            option("seconds", "S", "Duration")
                .value_parser(value_parser!(f64))
                .default_value("10"),
        )
        .arg(option("method", "METHOD", "Method").default_value("GET"))
        .arg(
            option(
                "path",
                "PATH",
                "Path; {n} is replaced by the number of the call",
            )
            .default_value("/"),
        )
        .arg(option("host", "HOST", "Host header"))
        .arg(option("body", "TEXT", "Body").default_value(""))
        .arg(
            option("header", "NAME:VALUE", "Further header; repeat for several")
                .action(ArgAction::Append),
        )
        .arg(
            Arg::new("keys")
                .long("keys")
                .help("Give each call a new idempotency key")
                .action(ArgAction::SetTrue),
        )
        .arg(
            option(
                "repeated",
                "SHARE",
                "Share of the calls that repeat a recent call with its key, 0 to 1",
            )
            .value_parser(value_parser!(f64))
            .requires("keys")
            .default_value("0"),
        )
        .arg(
            option("timeout-ms", "MS", "Timeout of a call")
                .value_parser(value_parser!(u64))
                .default_value("5000"),
        )
        .arg(
            option("seed", "N", "Seed for the choice of repeated calls")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            Arg::new("samples")
                .long("samples")
                .help("Include a sample for each call in the result")
                .action(ArgAction::SetTrue),
        )
}

fn call(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let targets = args
        .get_many("target")
        .map(|targets| targets.copied().collect())
        .unwrap_or_default();
    let duration = Duration::try_from_secs_f64(*required(args, "seconds")?)
        .wrap_err("--seconds is out of range")?;
    let rate: f64 = *required(args, "rate")?;
    eyre::ensure!(rate > 0.0, "--rate must be above zero");
    let mut options = CallerOptions::new(targets, rate, duration);
    options.method = required::<String>(args, "method")?
        .parse()
        .wrap_err("--method is not an HTTP method")?;
    options.path.clone_from(required(args, "path")?);
    options.host = args.get_one("host").cloned();
    options.body = required::<String>(args, "body")?.clone().into();
    for header in args.get_many::<String>("header").unwrap_or_default() {
        let (name, value) = header
            .split_once(':')
            .ok_or_else(|| eyre::eyre!("--header {header} has no colon"))?;
        options
            .headers
            .push((name.trim().into(), value.trim().into()));
    }
    if args.get_flag("keys") {
        options.keys = Keys::Fresh {
            repeated: *required(args, "repeated")?,
        };
    }
    options.timeout = Duration::from_millis(*required(args, "timeout-ms")?);
    options.seed = *required(args, "seed")?;
    options.keep_samples = args.get_flag("samples");
    let report = actix_rt::System::new().block_on(caller::run(options));
    println!("{}", serde_json::to_string(&report)?);
    let correct = report.mismatched == 0 && report.malformed == 0;
    Ok(if correct {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn measure_command() -> Command {
    Command::new("measure")
        .about("Measure real node processes; prints JSON lines and a table")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(latency_command())
        .subcommand(convergence_command())
        .subcommand(rollback_command())
        .subcommand(workspaces_command())
}

fn binary_arg() -> Arg {
    option("binary", "FILE", "The sycamorewick binary")
        .value_parser(value_parser!(PathBuf))
        .default_value("target/release/sycamorewick")
}

fn plot_arg() -> Arg {
    option("plot", "FILE", "Write a plot as SVG").value_parser(value_parser!(PathBuf))
}

fn latency_command() -> Command {
    Command::new("latency")
        .about("Measure the latency that both hops add to a call, compared with direct calls")
        .arg(binary_arg())
        .arg(plot_arg())
        .arg(
            option("pairs", "N", "Pairs of an entry node and a serving node")
                .value_parser(value_parser!(usize))
                .default_value("2"),
        )
        .arg(
            option("rates", "LIST", "Calls per second to each entry node")
                .value_parser(value_parser!(f64))
                .value_delimiter(',')
                .default_value("47,200,500"),
        )
        .arg(
            option("rounds", "N", "Rounds for each rate")
                .value_parser(value_parser!(usize))
                .default_value("5"),
        )
        .arg(
            option(
                "seconds",
                "S",
                "Duration of the direct run and of the mesh run in each round",
            )
            .value_parser(value_parser!(f64))
            .default_value("5"),
        )
}

fn convergence_command() -> Command {
    Command::new("convergence")
        .about("Measure convergence time and control traffic by fleet size")
        .arg(binary_arg())
        .arg(plot_arg())
        .arg(
            option("sizes", "LIST", "Numbers of nodes of the fleets")
                .value_parser(value_parser!(usize))
                .value_delimiter(',')
                .default_value("10,20,40,80,160"),
        )
        .arg(
            option("services", "N", "Number of services in the document")
                .value_parser(value_parser!(usize))
                .default_value("180"),
        )
        .arg(
            option("publishes", "N", "Number of publications in each fleet")
                .value_parser(value_parser!(usize))
                .default_value("5"),
        )
        .arg(
            option("publish-interval", "S", "Interval between publications")
                .value_parser(value_parser!(f64))
                .default_value("2"),
        )
        .arg(
            option("idle", "S", "Time over which the idle cost is measured")
                .value_parser(value_parser!(f64))
                .default_value("8"),
        )
}

fn rollback_command() -> Command {
    Command::new("rollback")
        .about("Measure rollback time and affected requests by kind of fault")
        .arg(binary_arg())
        .arg(
            option("kinds", "LIST", "Kinds of faults")
                .value_parser(rollback::KINDS)
                .value_delimiter(',')
                .action(ArgAction::Append),
        )
        .arg(
            option("servers", "N", "Backend servers of each version")
                .value_parser(value_parser!(usize))
                .default_value("6"),
        )
        .arg(
            option("rate", "N", "Calls per second")
                .value_parser(value_parser!(f64))
                .default_value("280"),
        )
        .arg(
            option(
                "window",
                "S",
                "Time from the first step to the latest finish of the rollout",
            )
            .value_parser(value_parser!(f64))
            .default_value("24"),
        )
}

fn workspaces_command() -> Command {
    let number = |name, value, default, help| {
        option(name, value, help)
            .value_parser(value_parser!(f64))
            .default_value(default)
    };
    let count = |name, default, help| {
        option(name, "N", help)
            .value_parser(value_parser!(usize))
            .default_value(default)
    };
    Command::new("workspaces")
        .about(
            "Measure what a workspace that sends many times its usual rate takes from the others",
        )
        .arg(binary_arg())
        .arg(plot_arg())
        .arg(count(
            "nodes",
            "4",
            "Number of sidecars, each with a backend server of 2 slots",
        ))
        .arg(count(
            "workspaces",
            "6",
            "Number of workspaces; the first one is hot",
        ))
        .arg(number(
            "rate",
            "N",
            "15",
            "Usual calls per second of a workspace",
        ))
        .arg(number(
            "factor",
            "N",
            "8",
            "Rate of the hot workspace, as a multiple of its usual one",
        ))
        .arg(number(
            "quota",
            "N",
            "0",
            "Quota of each workspace, as a multiple of its usual rate; 0 for none",
        ))
        .arg(number(
            "seconds",
            "S",
            "30",
            "Duration; the second third of it is hot",
        ))
}

fn measure(args: &ArgMatches) -> eyre::Result<ExitCode> {
    actix_rt::System::new().block_on(async {
        // A signal drops the measurement, which ends the processes that it started.
        let measurement = std::pin::pin!(measurement(args));
        let stop = std::pin::pin!(wait_for_stop());
        match futures_util::future::select(measurement, stop).await {
            Either::Left((result, _)) => result.map(|()| ExitCode::SUCCESS),
            Either::Right(_) => Err(eyre::eyre!("stopped by a signal")),
        }
    })
}

async fn measurement(args: &ArgMatches) -> eyre::Result<()> {
    match args.subcommand() {
        Some(("latency", args)) => {
            let options = LatencyOptions {
                binary: required::<PathBuf>(args, "binary")?.clone(),
                pairs: *required(args, "pairs")?,
                rates: list(args, "rates"),
                rounds: *required(args, "rounds")?,
                seconds: *required(args, "seconds")?,
                plot: args.get_one("plot").cloned(),
            };
            latency::run(&options).await?;
        }
        Some(("convergence", args)) => {
            let options = ConvergenceOptions {
                binary: required::<PathBuf>(args, "binary")?.clone(),
                sizes: list(args, "sizes"),
                services: *required(args, "services")?,
                publishes: *required(args, "publishes")?,
                publish_interval_s: *required(args, "publish-interval")?,
                idle_s: *required(args, "idle")?,
                plot: args.get_one("plot").cloned(),
            };
            convergence::run(&options).await?;
        }
        Some(("rollback", args)) => {
            let options = RollbackOptions {
                binary: required::<PathBuf>(args, "binary")?.clone(),
                kinds: list(args, "kinds"),
                servers: *required(args, "servers")?,
                rate: *required(args, "rate")?,
                window_s: *required(args, "window")?,
            };
            rollback::run(&options).await?;
        }
        Some(("workspaces", args)) => {
            let options = WorkspacesOptions {
                binary: required::<PathBuf>(args, "binary")?.clone(),
                nodes: *required(args, "nodes")?,
                workspaces: *required(args, "workspaces")?,
                rate: *required(args, "rate")?,
                factor: *required(args, "factor")?,
                quota: *required(args, "quota")?,
                seconds: *required(args, "seconds")?,
                plot: args.get_one("plot").cloned(),
            };
            workspaces::run(&options).await?;
        }
        _ => {}
    }
    Ok(())
}

fn list<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> Vec<T> {
    args.get_many(name).unwrap_or_default().cloned().collect()
}

fn required<'a, T>(args: &'a ArgMatches, name: &str) -> eyre::Result<&'a T>
where
    T: Clone + Send + Sync + 'static,
{
    args.get_one(name)
        .ok_or_else(|| eyre::eyre!("--{name} is missing"))
}

/// Waits for SIGINT or SIGTERM.
async fn wait_for_stop() {
    use tokio::signal::unix::SignalKind;
    use tokio::signal::unix::signal;
    let (Ok(mut int), Ok(mut term)) = (
        signal(SignalKind::interrupt()),
        signal(SignalKind::terminate()),
    ) else {
        eprintln!("cannot install the signal handlers");
        return;
    };
    let int = std::pin::pin!(int.recv());
    let term = std::pin::pin!(term.recv());
    futures_util::future::select(int, term).await;
}
