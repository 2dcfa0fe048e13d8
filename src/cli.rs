//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;
use clap_complete::Shell;

/// Serves language models from a fixed fleet of engines.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done, 1 error, 2 wrong arguments, 3 conflict, 4 outcome unknown."
)]
pub struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// How results are printed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an entry host.
    #[command(after_help = "Example: pistachiohall serve nottingham-1.ini")]
    Serve(Serve),
    /// Check settings, service files and configurations without using them.
    #[command(after_help = "Examples:\n  pistachiohall check examples/trentside\n  \
        pistachiohall check --in-force 10.200.1.7:8142 next.json\n\n\
        Exit codes for configurations: 0 nothing wrong, 1 warnings alone with --strict, 2 errors.")]
    Check(Check),
    /// Put service files into force.
    #[command(
        after_help = "Example: pistachiohall publish --platform 127.0.0.1:9000 examples/trentside"
    )]
    Publish(Publish),
    /// Show hosts, upstreams, lease and orders as an entry host knows them.
    #[command(after_help = "Example: pistachiohall status --host 127.0.0.1:8181")]
    Status(Status),
    /// Take an upstream out of use, or back into it.
    #[command(
        after_help = "Example: pistachiohall drain --platform 127.0.0.1:9000 --domain derby engine-3"
    )]
    Drain(Drain),
    /// Have an engine take a role, a version or an adapter.
    #[command(
        after_help = "Example: pistachiohall order --platform 127.0.0.1:9000 --domain derby engine-3 --role prefill"
    )]
    Order(Order),
    /// Show latencies by class or caller.
    #[command(after_help = "Example: pistachiohall histograms --host 127.0.0.1:8181 --callers")]
    Histograms(Histograms),
    /// Tell what became of a request, from the logs of all hosts.
    #[command(after_help = "Example: pistachiohall explain 9c41d07be2a35f68 front-*.log")]
    Explain(Explain),
    /// Run a small deployment with faults on stand-ins, and check its promises.
    #[command(after_help = "Example: pistachiohall demo")]
    Demo(Demo),
    /// Measure the policies on models and stand-ins.
    #[command(after_help = "Example: pistachiohall experiment policy --seeds 5")]
    Experiment(Experiment),
    /// Run a stand-in for something that surrounds the system.
    #[command(after_help = "Example: pistachiohall stand-in platform --listen 127.0.0.1:9000")]
    StandIn(StandIn),
    /// Print completions for a shell.
    #[command(after_help = "Example: pistachiohall completions bash")]
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Arguments of `serve`.
#[derive(Debug, Args)]
pub struct Serve {
    /// Settings file.
    #[arg(env = "PISTACHIOHALL_SETTINGS")]
    pub settings: PathBuf,
    /// Log filter, such as `info` or `debug`.
    #[arg(long, default_value = "info")]
    pub log: String,
}

/// Arguments of `check`.
#[derive(Debug, Args)]
pub struct Check {
    /// Settings files, service files, folders of service files, or a configuration (`*.json`) as the
    /// platform's store would hold it.
    #[arg(required = true)]
    pub paths: Vec<PathBuf>,
    /// Configuration in force, to show what differs: a file, or the address of the platform's store.
    #[arg(long, value_name = "FILE|ADDRESS")]
    pub in_force: Option<String>,
    /// Settings of a gateway, to check the configuration against its retry budget.
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Fail if there are warnings.
    #[arg(long)]
    pub strict: bool,
    /// Print JSON, as `--format json` does.
    #[arg(long)]
    pub json: bool,
    /// How results are printed.
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct Explain {
    /// Identifier of the request, as its caller sent it.
    pub id: String,
    /// Log files; the standard input if there are none.
    pub logs: Vec<PathBuf>,
}

/// Arguments of `publish`.
#[derive(Debug, Args)]
pub struct Publish {
    /// Where the platform is.
    #[arg(long)]
    pub platform: SocketAddr,
    /// Service files or folders of them.
    #[arg(required = true)]
    pub paths: Vec<PathBuf>,
    /// Remove services that have no file.
    #[arg(long)]
    pub prune: bool,
    /// Show the difference and publish nothing.
    #[arg(long)]
    pub dry_run: bool,
    /// Operator address of an entry host, to wait until each host has the revision.
    #[arg(long, value_name = "HOST")]
    pub wait: Option<SocketAddr>,
    /// How results are printed.
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct Status {
    /// Operator address of an entry host.
    #[arg(long)]
    pub host: SocketAddr,
    /// Show why roles were or were not changed.
    #[arg(long)]
    pub explain: bool,
    /// How results are printed.
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

/// Arguments of `drain`.
#[derive(Debug, Args)]
pub struct Drain {
    /// Where the platform is.
    #[arg(long)]
    pub platform: SocketAddr,
    /// Failure domain of the upstream.
    #[arg(long)]
    pub domain: String,
    /// Upstream.
    pub upstream: String,
    /// Take it back into use.
    #[arg(long)]
    pub undo: bool,
    /// How results are printed.
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

/// Role that an engine is to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Role {
    /// Read prompts.
    Prefill,
    /// Generate.
    Decode,
    /// Both.
    Mixed,
}

/// Arguments of `order`.
#[derive(Debug, Args)]
pub struct Order {
    /// Where the platform is.
    #[arg(long)]
    pub platform: SocketAddr,
    /// Failure domain of the engine.
    #[arg(long)]
    pub domain: String,
    /// Engine.
    pub upstream: String,
    /// What to do.
    #[command(flatten)]
    pub action: Action,
    /// How results are printed.
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

/// What an engine is to do.
#[derive(Debug, Args)]
#[group(required = true, multiple = false)]
pub struct Action {
    /// Role to take.
    #[arg(long, value_enum)]
    pub role: Option<Role>,
    /// Version of the model to load.
    #[arg(long)]
    pub version_of_model: Option<String>,
    /// Adapter to load.
    #[arg(long)]
    pub adapter: Option<String>,
}

/// Arguments of `histograms`.
#[derive(Debug, Args)]
pub struct Histograms {
    /// Operator address of an entry host.
    #[arg(long)]
    pub host: SocketAddr,
    /// Show callers in place of classes.
    #[arg(long)]
    pub callers: bool,
    /// How results are printed.
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

/// Arguments of `demo`.
#[derive(Debug, Args)]
pub struct Demo {
    /// How results are printed.
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
    /// Seed of the callers' choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// What to measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Topic {
    /// Role changes through shifts of the mix.
    Policy,
    /// Urgent requests at twice the capacity.
    Admission,
    /// Cache hits and latencies of routing.
    Routing,
    /// What an entry host adds to a stream.
    Overhead,
    /// What claims and tickets add to a call.
    Once,
    /// What control costs at growing sizes.
    Cost,
}

/// Arguments of `experiment`.
#[derive(Debug, Args)]
pub struct Experiment {
    /// What to measure.
    #[arg(value_enum)]
    pub topic: Topic,
    /// Seeds to run.
    #[arg(long, default_value_t = 20)]
    pub seeds: u64,
    /// Ordinary demand, as a share of what the fleet could do.
    #[arg(long, default_value_t = 0.75)]
    pub load: f64,
    /// File for a plot.
    #[arg(long)]
    pub plot: Option<PathBuf>,
    /// How results are printed.
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

/// Arguments of `stand-in`.
#[derive(Debug, Args)]
pub struct StandIn {
    /// What to stand in for.
    #[command(subcommand)]
    pub part: Part,
}

/// What to stand in for.
#[derive(Debug, Subcommand)]
pub enum Part {
    /// The platform's log and list.
    Platform(Listen),
    /// A model engine.
    Engine(Upstream),
    /// A plain service.
    Service(Upstream),
}

/// Where a stand-in serves.
#[derive(Debug, Args)]
pub struct Listen {
    /// Where it serves.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
}

/// Where an upstream's stand-in serves, and as what it is listed.
#[derive(Debug, Args)]
pub struct Upstream {
    /// Where it serves.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Platform stand-in to be listed on.
    #[arg(long)]
    pub platform: SocketAddr,
    /// Name on the list.
    #[arg(long)]
    pub name: String,
    /// Failure domain.
    #[arg(long)]
    pub domain: String,
    /// Service.
    #[arg(long)]
    pub service: String,
}
