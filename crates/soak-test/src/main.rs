//! `soak-test`: runs the plans of consecutive seeds, several at a time.
//!
//! The last lines count the violated invariants and give the verdict; the program fails if any
//! invariant was violated or any seed proved nothing.

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

/// A run whose observer was later than this proves nothing, and is repeated.
const MAX_OBSERVER_LAG: Duration = Duration::from_millis(75);
/// How often a seed is run at most.
const MAX_RUNS: usize = 3;
/// Violations of one run that are printed one by one.
const MAX_PRINTED_VIOLATIONS: usize = 6;
/// The first network of the runs within 127.0.0.0/8; each that runs at the same time has its own.
const FIRST_NETWORK: u8 = 100;

/// Runs proxy processes under overlapping faults and checks their invariants.
#[derive(Parser)]
#[command(version)]
struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Runs at a time.
    #[arg(long, default_value_t = 4)]
    jobs: u8,
    /// Nodes of each run.
    #[arg(long, default_value_t = 4)]
    nodes: usize,
    /// Seconds of traffic of each run.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// What the runs are made of.
    #[arg(long, value_enum, default_value_t)]
    scenario: Scenario,
    /// The proxy; by default the one that was built beside this program.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// The fault injection library; by default the one that was built beside this program.
    #[arg(long)]
    fault_library: Option<PathBuf>,
    /// Keeps the folders of runs that violated an invariant, with the nodes' logs, here.
    #[arg(long)]
    keep: Option<PathBuf>,
}

/// What came of all runs.
#[derive(Default)]
struct Summary {
    passed: u64,
    failed_seeds: Vec<u64>,
    unproven_seeds: Vec<u64>,
    violations: BTreeMap<Invariant, usize>,
}

/// A run that proved something.
struct ProvenRun {
    report: RunReport,
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

/// The library stands beside this program, or among what it depends on.
fn find_fault_library(this_program: &Path) -> PathBuf {
    let name = "libfault_injection_preload.so";
    let beside = this_program.with_file_name(name);
    if beside.exists() {
        beside
    } else {
        this_program.with_file_name("deps").join(name)
    }
}

/// Runs all seeds, one thread for each of the runs at a time.
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
                let proven = run_seed(seed, FIRST_NETWORK + job, options, programs);
                lock(summary).add(seed, proven, options.keep.as_deref());
            });
        }
    });
    summary.into_inner().unwrap_or_default()
}

/// A thread that panicked has counted what it did.
fn lock(summary: &Mutex<Summary>) -> MutexGuard<'_, Summary> {
    summary.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a seed until a run proves something. `None`: none did.
fn run_seed(
    seed: u64,
    network: u8,
    options: &Options,
    programs: Programs<'_>,
) -> Option<ProvenRun> {
    for _ in 0..MAX_RUNS {
        let folder = match tempfile::tempdir() {
            Ok(folder) => folder,
            Err(error) => {
                eprintln!("soak-test: cannot create a folder: {error}");
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
                println!("seed {seed}: the observer was {lag} ms late itself, again");
            }
            Ok(report) => {
                print_report(seed, &report);
                return Some(ProvenRun { report, folder });
            }
            Err(error) => eprintln!("soak-test: seed {seed} could not be run: {error}"),
        }
    }
    None
}

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
    /// Counts a seed. The folder of a violated invariant is moved to `keep`, where that is given.
    fn add(&mut self, seed: u64, proven: Option<ProvenRun>, keep: Option<&Path>) {
        let Some(ProvenRun { report, folder }) = proven else {
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

    fn is_success(&self) -> bool {
        self.failed_seeds.is_empty() && self.unproven_seeds.is_empty()
    }

    /// Prints the verdict. CI reads these lines.
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
