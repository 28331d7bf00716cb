//! The command line of `rosebend-standin`.

use std::{net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use getopts::{Matches, Options};

use crate::{
    backend::{BackendConfig, Crash},
    engine::EngineConfig,
    service::ServiceConfig,
    store::StoreConfig,
};

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Print this help.
    Help(String),
    /// Run a stand-in on an address.
    Run(SocketAddr, StandIn),
}

/// A stand-in with its settings.
#[derive(Clone, Debug, PartialEq)]
pub enum StandIn {
    /// A model engine.
    Engine(EngineConfig),
    /// A plain service.
    Service(ServiceConfig),
    /// The platform's store.
    Store(StoreConfig),
    /// An endpoint of the platform.
    Backend(BackendConfig),
}

/// What is wrong with the command line.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OptionsError {
    /// No sub-command, or an unknown one.
    #[error("the sub-command must be store, engine, service or backend\n{OVERVIEW}")]
    SubCommand,
    /// An option is unknown, or lacks its value.
    #[error("{0}")]
    Option(String),
    /// An option's value cannot be read.
    #[error("--{name} cannot be {value:?}: {expected}")]
    Value {
        /// The option.
        name: &'static str,
        /// Its value.
        value: String,
        /// What it should be.
        expected: &'static str,
    },
}

const VERSION: &str = concat!("rosebend-standin ", env!("CARGO_PKG_VERSION"));

const OVERVIEW: &str = "\
usage: rosebend-standin store|engine|service|backend [OPTIONS]

Stand-ins for the platform's store, a model engine, a plain service and an
endpoint of the platform. Each prints
`listening on ADDRESS` once it is ready and exits with 0 on SIGTERM, after it
has finished the requests in flight.

  rosebend-standin store --listen 127.0.0.1:7000
  rosebend-standin engine --listen 127.0.0.1:0 --speed 10
  rosebend-standin service --listen 127.0.0.1:0 --delay-ms 50
  rosebend-standin backend --listen 127.0.0.1:0 --instance i-1

`rosebend-standin SUB-COMMAND --help` lists the options.";

/// Reads the arguments after the program's name.
///
/// # Errors
///
/// Says what is wrong with them.
pub fn parse(arguments: &[String]) -> Result<Command, OptionsError> {
    let (name, rest) = arguments.split_first().ok_or(OptionsError::SubCommand)?;
    match name.as_str() {
        "--help" | "-h" => Ok(Command::Help(OVERVIEW.to_owned())),
        "--version" => Ok(Command::Help(VERSION.to_owned())),
        "engine" => run(name, &engine_options(), rest, read_engine),
        "service" => run(name, &service_options(), rest, read_service),
        "store" => run(name, &store_options(), rest, read_store),
        "backend" => run(name, &backend_options(), rest, read_backend),
        _ => Err(OptionsError::SubCommand),
    }
}

fn run(
    name: &str,
    options: &Options,
    arguments: &[String],
    read: fn(&Matches) -> Result<StandIn, OptionsError>,
) -> Result<Command, OptionsError> {
    let matches = options
        .parse(arguments)
        .map_err(|error| OptionsError::Option(error.to_string()))?;
    if matches.opt_present("help") {
        let brief = format!("usage: rosebend-standin {name} [OPTIONS]");
        return Ok(Command::Help(options.usage(&brief)));
    }
    if let Some(surplus) = matches.free.first() {
        return Err(OptionsError::Option(format!("unexpected: {surplus}")));
    }
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = value(&matches, "listen", "an address like 127.0.0.1:0", loopback)?;
    Ok(Command::Run(address, read(&matches)?))
}

fn common_options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("", "listen", "address, port 0 for any (127.0.0.1:0)", "A");
    options
}

fn store_options() -> Options {
    let mut options = common_options();
    options.optopt("", "reads-per-second", "rate of reads (2000)", "N");
    options.optopt("", "writes-per-second", "rate of writes (800)", "N");
    let partition = "rate of transactions of one partition (150)";
    options.optopt("", "partition-transactions-per-second", partition, "N");
    options
}

fn read_store(matches: &Matches) -> Result<StandIn, OptionsError> {
    let defaults = StoreConfig::default();
    Ok(StandIn::Store(StoreConfig {
        reads_per_second: count(matches, "reads-per-second", defaults.reads_per_second)?,
        writes_per_second: count(matches, "writes-per-second", defaults.writes_per_second)?,
        partition_transactions_per_second: count(
            matches,
            "partition-transactions-per-second",
            defaults.partition_transactions_per_second,
        )?,
    }))
}

fn engine_options() -> Options {
    let mut options = common_options();
    let mut value = |name, help, hint| {
        options.optopt("", name, help, hint);
    };
    value("token-us", "time of a decoding step (20000)", "US");
    value("prefill-token-us", "time of a cold token (200)", "US");
    value("transfer-token-us", "export or import of a token (2)", "US");
    value("kv-tokens", "KV memory (65536)", "N");
    value("max-running", "requests that run at once (16)", "N");
    value("speed", "factor on the engine's speed (1)", "X");
    value("load-lag-ms", "lag of the load report (500)", "MS");
    value("event-lag-ms", "lag of cache events (500)", "MS");
    value("event-gap-percent", "cache events that are lost (5)", "N");
    value("order-ms", "time of an order (200)", "MS");
    value("models", "models served, with commas (any)", "LIST");
    value("seed", "seed of the lost events (1)", "N");
    options.optflag("", "check-fences", "refuse orders with an old fence");
    options
}

fn read_engine(matches: &Matches) -> Result<StandIn, OptionsError> {
    let defaults = EngineConfig::default();
    let models = matches.opt_str("models").unwrap_or_default();
    let models = models.split(',').filter(|name| !name.is_empty());
    let speed = value(matches, "speed", "a number above 0", 1.0)?;
    if !(speed > 0.0 && f64::is_finite(speed)) {
        return Err(bad_value("speed", &speed.to_string(), "a number above 0"));
    }
    let transfer_default = defaults.transfer_token_time;
    let config = EngineConfig {
        token_time: micros(matches, "token-us", defaults.token_time)?,
        prefill_token_time: micros(matches, "prefill-token-us", defaults.prefill_token_time)?,
        transfer_token_time: micros(matches, "transfer-token-us", transfer_default)?,
        kv_tokens: count(matches, "kv-tokens", defaults.kv_tokens)?,
        max_running: count(matches, "max-running", defaults.max_running)?,
        load_lag: millis(matches, "load-lag-ms", defaults.load_lag)?,
        event_lag: millis(matches, "event-lag-ms", defaults.event_lag)?,
        event_gap_percent: count(matches, "event-gap-percent", defaults.event_gap_percent)?,
        order_time: millis(matches, "order-ms", defaults.order_time)?,
        check_fences: matches.opt_present("check-fences"),
        models: models.map(str::to_owned).collect(),
        seed: count(matches, "seed", defaults.seed)?,
    };
    Ok(StandIn::Engine(config.sped_up(speed)))
}

fn backend_options() -> Options {
    let mut options = common_options();
    options.optopt("", "instance", "id of the endpoint's run (i-1)", "ID");
    let crash = "crash when a request begins to run whose path, headers or body contain this text";
    options.optopt("", "crash-on", crash, "TEXT");
    let silent = "stop at a crash instead of exiting, so that connections stay open and silent";
    options.optflag("", "crash-silently", silent);
    let delay = "time from the beginning of such a request to the crash (0)";
    options.optopt("", "crash-delay-ms", delay, "MS");
    let unhealthy = "answer health checks with 503 and without the id of the run";
    options.optflag("", "unhealthy", unhealthy);
    let received = "file to which a line is appended for each request that it receives";
    options.optopt("", "received", received, "FILE");
    options
}

fn read_backend(matches: &Matches) -> Result<StandIn, OptionsError> {
    let instance = value(matches, "instance", "an id", "i-1".to_owned())?;
    Ok(StandIn::Backend(BackendConfig {
        crash_on: matches.opt_str("crash-on"),
        crash: match matches.opt_present("crash-silently") {
            true => Crash::Stop,
            false => Crash::Exit,
        },
        crash_delay: millis(matches, "crash-delay-ms", Duration::ZERO)?,
        is_unhealthy: matches.opt_present("unhealthy"),
        received: matches.opt_str("received").map(PathBuf::from),
        ..BackendConfig::new(&instance)
    }))
}

fn service_options() -> Options {
    let mut options = common_options();
    options.optopt("", "delay-ms", "time of a call (0)", "MS");
    options
}

fn read_service(matches: &Matches) -> Result<StandIn, OptionsError> {
    Ok(StandIn::Service(ServiceConfig {
        delay: millis(matches, "delay-ms", Duration::ZERO)?,
    }))
}

fn count<T: FromStr>(matches: &Matches, name: &'static str, default: T) -> Result<T, OptionsError> {
    value(matches, name, "a whole number", default)
}

fn millis(
    matches: &Matches,
    name: &'static str,
    default: Duration,
) -> Result<Duration, OptionsError> {
    duration(matches, name, Duration::from_millis, default)
}

fn micros(
    matches: &Matches,
    name: &'static str,
    default: Duration,
) -> Result<Duration, OptionsError> {
    duration(matches, name, Duration::from_micros, default)
}

fn duration(
    matches: &Matches,
    name: &'static str,
    unit: fn(u64) -> Duration,
    default: Duration,
) -> Result<Duration, OptionsError> {
    let given = matches.opt_str(name).map(|_| count(matches, name, 0));
    Ok(given.transpose()?.map_or(default, unit))
}

fn value<T: FromStr>(
    matches: &Matches,
    name: &'static str,
    expected: &'static str,
    default: T,
) -> Result<T, OptionsError> {
    match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| bad_value(name, &text, expected)),
    }
}

fn bad_value(name: &'static str, value: &str, expected: &'static str) -> OptionsError {
    OptionsError::Value {
        name,
        value: value.to_owned(),
        expected,
    }
}
