//! `soak`: plays real nodes on loopback under overlapping troubles, and judges them by the rules of
//! the pages alone.
//!
//! A seed decides settings, sizes and troubles, and plays the same again. The last lines count the
//! broken rules and give the verdict; the program fails if any rule was broken.

mod client;
mod discovery;
mod http;
mod judge;
mod node;
mod plan;
mod play;
mod server;
mod world;

use clap::Parser;
use judge::Rule;
use plan::Plan;
use play::{Programs, Report};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use tokio::task::LocalSet;

/// A play whose observer was later than this itself proves nothing, and is played again.
const MOST_LAG: Duration = Duration::from_millis(75);
/// How often a play is repeated for that.
const REPEATS: usize = 3;
/// Violations of one play that are told one by one.
const MOST_TOLD: usize = 6;
/// The first network of the plays within 127.0.0.0/8; each that runs at the same time has one of
/// its own.
const FIRST_NETWORK: u8 = 100;

/// Plays nodes under overlapping troubles and judges them by their rules.
#[derive(Parser)]
#[command(version)]
struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Plays at a time.
    #[arg(long, default_value_t = 4)]
    jobs: u8,
    /// Nodes of each play.
    #[arg(long, default_value_t = 4)]
    nodes: usize,
    /// Seconds of traffic of each play.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// The node's program; by default the one that was built beside this one.
    #[arg(long)]
    node: Option<PathBuf>,
    /// The library that makes system calls fail; by default the one that was built beside this one.
    #[arg(long)]
    shim: Option<PathBuf>,
    /// Keeps the folders of plays that broke a rule, with the nodes' logs, here.
    #[arg(long)]
    keep: Option<PathBuf>,
}

/// What came of all plays.
#[derive(Default)]
struct Summary {
    passed: u64,
    failed: Vec<u64>,
    unproven: Vec<u64>,
    violations: BTreeMap<Rule, usize>,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let beside = std::env::current_exe().unwrap_or_default();
    let node = options
        .node
        .clone()
        .unwrap_or_else(|| beside.with_file_name("balancer-proxy"));
    let shim = options.shim.clone().unwrap_or_else(|| find_shim(&beside));
    for needed in [&node, &shim] {
        if !needed.exists() {
            eprintln!(
                "soak: {} is not there; build the workspace first",
                needed.display()
            );
            return ExitCode::FAILURE;
        }
    }
    let (next, summary) = (AtomicU64::new(options.seed), Mutex::new(Summary::default()));
    std::thread::scope(|scope| {
        for job in 0..options.jobs.max(1) {
            let (options, next, summary) = (&options, &next, &summary);
            let programs = Programs {
                node: &node,
                shim: &shim,
            };
            scope.spawn(move || loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= options.seed + options.count {
                    return;
                }
                play_seed(seed, FIRST_NETWORK + job, options, &programs, summary);
            });
        }
    });
    let summary = summary.into_inner().unwrap_or_default();
    for (rule, count) in &summary.violations {
        println!("broken: {rule:?} {count}");
    }
    if !summary.failed.is_empty() {
        println!("failed seeds: {:?}", summary.failed);
    }
    if !summary.unproven.is_empty() {
        println!(
            "unproven seeds, the observer was late itself: {:?}",
            summary.unproven
        );
    }
    println!(
        "{} passed, {} failed",
        summary.passed,
        summary.failed.len() + summary.unproven.len()
    );
    ExitCode::from(u8::from(
        !summary.failed.is_empty() || !summary.unproven.is_empty(),
    ))
}

/// The shim stands beside this program, or among what it depends on.
fn find_shim(beside: &Path) -> PathBuf {
    let name = "libfault_injection_preload.so";
    let near = beside.with_file_name(name);
    if near.exists() {
        near
    } else {
        beside.with_file_name("deps").join(name)
    }
}

fn play_seed(
    seed: u64,
    network: u8,
    options: &Options,
    programs: &Programs,
    summary: &Mutex<Summary>,
) {
    for _ in 0..REPEATS {
        let folder = match tempfile::tempdir() {
            Ok(folder) => folder,
            Err(error) => return eprintln!("soak: no folder: {error}"),
        };
        let plan = Plan::draw(seed, options.nodes, Duration::from_secs(options.seconds));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.expect("a runtime can be built");
        let played =
            LocalSet::new().block_on(&runtime, play::play(plan, network, folder.path(), programs));
        let report = match played {
            Ok(report) => report,
            Err(error) => {
                eprintln!("soak: seed {seed} could not be played: {error}");
                continue;
            }
        };
        if report.lag > MOST_LAG {
            println!(
                "seed {seed}: the observer was {} ms late itself, again",
                report.lag.as_millis()
            );
            continue;
        }
        tell(seed, &report);
        let mut summary = summary
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        for violation in &report.violations {
            *summary.violations.entry(violation.rule).or_default() += 1;
        }
        if report.violations.is_empty() {
            summary.passed += 1;
        } else {
            summary.failed.push(seed);
            if let Some(keep) = &options.keep {
                let _ = std::fs::create_dir_all(keep);
                let _ = std::fs::rename(folder.keep(), keep.join(format!("seed-{seed}")));
            }
        }
        return;
    }
    summary
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .unproven
        .push(seed);
}

fn tell(seed: u64, report: &Report) {
    let totals = &report.totals;
    let troubles: Vec<String> = report
        .plan
        .episodes
        .iter()
        .map(|episode| format!("{:.1}s {:?}", episode.at.as_secs_f64(), episode.trouble))
        .collect();
    println!(
        "seed {seed}: {} requests={} served={} refused={} failed={} unanswered={} attempts={} lag_ms={} [{}]",
        if report.violations.is_empty() { "ok" } else { "BROKEN" },
        totals.requests,
        totals.served,
        totals.refused,
        totals.failed,
        totals.unanswered,
        totals.attempts,
        report.lag.as_millis(),
        troubles.join(", "),
    );
    for violation in report.violations.iter().take(MOST_TOLD) {
        println!("  {violation}");
    }
    if report.violations.len() > MOST_TOLD {
        println!("  and {} more", report.violations.len() - MOST_TOLD);
    }
}
