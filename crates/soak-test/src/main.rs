//! `soak-test`: runs the plans of consecutive seeds, several in parallel.
//!
//! The last lines of the output count the violations of each invariant and give the verdict. The
//! program fails if any invariant was violated or if any seed had no conclusive run, which the
//! output calls "unproven".

use clap::Parser;
use soak_test::invariants::Invariant;
use soak_test::plan::{Plan, Scenario};
use soak_test::proxy_node::Programs;
use soak_test::run::{run, RunReport};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tempfile::TempDir;
use tokio::task::LocalSet;

/// Largest lag of the observer, this program itself, at which a run is conclusive. A run with a
/// longer lag proves nothing and is repeated.
const MAX_OBSERVER_LAG: Duration = Duration::from_millis(75);
/// Number of runs after which a seed without a conclusive run is reported as unproven.
const MAX_RUNS_PER_SEED: usize = 3;
/// Number of violations of one run that are printed in full; the rest are only counted.
const MAX_PRINTED_VIOLATIONS: usize = 6;
/// Second octet of the addresses, within 127.0.0.0/8, that the runs of the first job use. Each
/// further job uses the next number, so that parallel runs have separate addresses.
const FIRST_NETWORK: u8 = 100;

/// Runs proxy processes under overlapping faults and checks their invariants.
#[derive(Parser)]
#[command(version)]
struct Options {
    /// First seed to run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Number of seeds to run in parallel.
    #[arg(long, default_value_t = 4)]
    jobs: u8,
    /// Number of proxy nodes in each run.
    #[arg(long, default_value_t = 4)]
    nodes: usize,
    /// Duration of each run's traffic, in seconds.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Kinds of faults and operations from which the plans are drawn.
    #[arg(long, value_enum, default_value_t)]
    scenario: Scenario,
    /// Path of the proxy program; by default `balancer-proxy` in this program's folder.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Path of the fault injection library; by default the one in this program's folder, or else in
    /// its `deps` subfolder.
    #[arg(long)]
    fault_library: Option<PathBuf>,
    /// Folder into which the folders of runs that violated an invariant, with the nodes' logs, are
    /// moved; by default they are deleted.
    #[arg(long)]
    keep: Option<PathBuf>,
}

/// Results of all seeds.
#[derive(Default)]
struct Summary {
    /// Number of seeds whose conclusive run violated no invariant.
    passed: u64,
    /// Seeds whose conclusive run violated an invariant.
    failed_seeds: Vec<u64>,
    /// Seeds that had no conclusive run.
    unproven_seeds: Vec<u64>,
    /// Number of violations of each violated invariant.
    violations: BTreeMap<Invariant, usize>,
}

/// A run in which the observer's lag was at most [`MAX_OBSERVER_LAG`].
struct ConclusiveRun {
    report: RunReport,
    /// The run's folder, which is deleted on drop: it holds the nodes' configurations and logs.
    folder: TempDir,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let this_program = std::env::current_exe().unwrap_or_default();
    let proxy = options
        .proxy
        .clone()
        .unwrap_or_else(|| this_program.with_file_name("balancer-proxy"));
    let fault_library = options
        .fault_library
        .clone()
        .unwrap_or_else(|| find_fault_library(&this_program));
    for path in [&proxy, &fault_library] {
        if !path.exists() {
            let path = path.display();
            eprintln!("soak-test: {path} does not exist; build the workspace first");
            return ExitCode::FAILURE;
        }
    }
    let programs = Programs {
        proxy: &proxy,
        fault_library: &fault_library,
    };
    let summary = run_all_seeds(&options, programs);
    summary.print();
    if summary.is_success() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Returns the path of the fault injection library in this program's folder, or else in its `deps`
/// subfolder. The latter path may not exist.
fn find_fault_library(this_program: &Path) -> PathBuf {
    let name = "libfault_injection_preload.so";
    let beside = this_program.with_file_name(name);
    if beside.exists() {
        beside
    } else {
        this_program.with_file_name("deps").join(name)
    }
}

/// Runs all seeds, with one thread for each parallel job.
fn run_all_seeds(options: &Options, programs: Programs<'_>) -> Summary {
    let next_seed = AtomicU64::new(options.seed);
    let summary = Mutex::new(Summary::default());
    std::thread::scope(|scope| {
        for job in 0..options.jobs.max(1) {
            let (next_seed, summary) = (&next_seed, &summary);
            scope.spawn(move || loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= options.seed + options.count {
                    return;
                }
                let conclusive_run = run_seed(seed, FIRST_NETWORK + job, options, programs);
                lock(summary).add(seed, conclusive_run, options.keep.as_deref());
            });
        }
    });
    summary.into_inner().unwrap_or_default()
}

/// Locks the summary, even if a thread panicked while holding the lock: what that thread had
/// counted until then stays counted.
fn lock(summary: &Mutex<Summary>) -> MutexGuard<'_, Summary> {
    summary.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a seed until a run is conclusive, at most [`MAX_RUNS_PER_SEED`] times, and prints that
/// run's report. Returns `None` if no run was conclusive or a temporary folder could not be
/// created.
fn run_seed(
    seed: u64,
    network: u8,
    options: &Options,
    programs: Programs<'_>,
) -> Option<ConclusiveRun> {
    for _ in 0..MAX_RUNS_PER_SEED {
        let folder = match tempfile::tempdir() {
            Ok(folder) => folder,
            Err(error) => {
                eprintln!("soak-test: cannot create a temporary folder: {error}");
                return None;
            }
        };
        let duration = Duration::from_secs(options.seconds);
        let plan = match options.scenario {
            Scenario::Faults => Plan::draw(seed, options.nodes, duration),
            Scenario::Operations => Plan::draw_operations(seed, options.nodes, duration),
        };
        match run_once(plan, network, folder.path(), programs) {
            Ok(report) if report.max_observer_lag > MAX_OBSERVER_LAG => {
                let lag = report.max_observer_lag.as_millis();
                println!("seed {seed}: inconclusive run, the observer lagged by {lag} ms");
            }
            Ok(report) => {
                print_report(seed, &report);
                return Some(ConclusiveRun { report, folder });
            }
            Err(error) => eprintln!("soak-test: seed {seed} could not be run: {error}"),
        }
    }
    None
}

/// Runs a plan once, in a single-threaded runtime of its own.
fn run_once(
    plan: Plan,
    network: u8,
    folder: &Path,
    programs: Programs<'_>,
) -> io::Result<RunReport> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(plan, network, folder, programs))
}

/// Prints the result of a conclusive run: its totals, its faults and the first of its violations.
fn print_report(seed: u64, report: &RunReport) {
    let verdict = if report.violations.is_empty() {
        "ok"
    } else {
        "VIOLATED"
    };
    let totals = &report.totals;
    let faults: Vec<String> = report
        .plan
        .faults
        .iter()
        .map(|scheduled| format!("{:.1}s {:?}", scheduled.at.as_secs_f64(), scheduled.fault))
        .collect();
    println!(
        "seed {seed}: {verdict} requests={} served={} rejected={} failed={} unanswered={} attempts={} \
         lag_ms={} [{}]",
        totals.requests,
        totals.served,
        totals.rejected,
        totals.failed,
        totals.unanswered,
        totals.attempts,
        report.max_observer_lag.as_millis(),
        faults.join(", "),
    );
    for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
    if report.violations.len() > MAX_PRINTED_VIOLATIONS {
        let more = report.violations.len() - MAX_PRINTED_VIOLATIONS;
        println!("  and {more} more");
    }
}

impl Summary {
    /// Adds the result of a seed. If the run violated an invariant and `keep` is given, the run's
    /// folder is moved into `keep`, on a best-effort basis.
    fn add(&mut self, seed: u64, conclusive_run: Option<ConclusiveRun>, keep: Option<&Path>) {
        let Some(ConclusiveRun { report, folder }) = conclusive_run else {
            return self.unproven_seeds.push(seed);
        };
        for violation in &report.violations {
            *self.violations.entry(violation.invariant).or_default() += 1;
        }
        if report.violations.is_empty() {
            self.passed += 1;
            return;
        }
        self.failed_seeds.push(seed);
        if let Some(keep) = keep {
            let _ = std::fs::create_dir_all(keep);
            let _ = std::fs::rename(folder.keep(), keep.join(format!("seed-{seed}")));
        }
    }

    /// Whether every seed had a conclusive run and none violated an invariant.
    fn is_success(&self) -> bool {
        self.failed_seeds.is_empty() && self.unproven_seeds.is_empty()
    }

    /// Prints the violations per invariant and the verdict. CI parses these lines.
    fn print(&self) {
        for (invariant, count) in &self.violations {
            println!("violated: {invariant:?} {count}");
        }
        if !self.failed_seeds.is_empty() {
            println!("failed seeds: {:?}", self.failed_seeds);
        }
        if !self.unproven_seeds.is_empty() {
            println!(
                "unproven seeds, the observer was late itself: {:?}",
                self.unproven_seeds
            );
        }
        println!(
            "{} passed, {} failed",
            self.passed,
            self.failed_seeds.len() + self.unproven_seeds.len()
        );
    }
}
