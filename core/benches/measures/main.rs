//! Measures overspend and false refusals at the two existing sites, without and with faults, and compares them with two
//! baselines on the same arrivals: a static equal split of budgets, and a store call for each request.
//!
//! `cargo bench -p doorswitch-core --bench measures` prints the table. Names of sites or scenarios as arguments select
//! among them; `cover` compares cover times by the false refusals and the lost tokens that they lead to.

#![allow(missing_docs, clippy::unwrap_used)]

mod baselines;
mod scenario;
#[path = "../../tests/world/mod.rs"]
mod world;

use scenario::{Figures, Scenario, Site};

fn main() {
    let names: Vec<String> =
        std::env::args().skip(1).filter(|argument| !argument.starts_with("--")).collect();
    let selected =
        |name: &str| names.is_empty() || names.iter().any(|part| name.contains(part.as_str()));
    println!(
        "{:<7} {:<16} {:<12} {:>8} {:>9} {:>8} {:>8} {:>9} {:>8} {:>8} {:>10} {:>9}",
        "site",
        "scenario",
        "strategy",
        "requests",
        "overspend",
        "refused",
        "falsely",
        "unavoid.",
        "reads/s",
        "writes/s",
        "lost/death",
        "early s"
    );
    for site in Site::ALL {
        for scenario in Scenario::ALL {
            if !selected(site.name()) && !selected(scenario.name()) {
                continue;
            }
            let arrivals = scenario::arrivals(site, scenario, 11);
            print_row(
                site,
                scenario,
                "grants",
                &scenario::run(site, scenario, site.cover_s(), &arrivals),
            );
            print_row(
                site,
                scenario,
                "equal split",
                &baselines::equal_split(site, scenario, &arrivals),
            );
            print_row(
                site,
                scenario,
                "store call",
                &baselines::store_call(site, scenario, &arrivals),
            );
        }
    }
    if selected("cover") {
        print_cover();
    }
}

/// Prints, by cover time, the false refusals in a region that is cut off and the tokens lost per router crash.
fn print_cover() {
    println!(
        "\n{:<8} {:>24} {:>24}",
        "cover s", "falsely in region-cut-1h", "lost/death in deaths"
    );
    let site = Site::Bursa;
    for cover_s in [60, 300, 600, 1_800, 4_500] {
        let figures = |scenario| {
            let arrivals = scenario::arrivals(site, scenario, 11);
            scenario::run(site, scenario, cover_s, &arrivals)
        };
        let cut = figures(Scenario::RegionCut);
        let crashes = figures(Scenario::Crashes);
        let lost = crashes.lost_tokens / crashes.crashes.max(1);
        println!("{cover_s:<8} {:>24} {lost:>24}", cut.falsely_refused);
    }
}

fn print_row(site: Site, scenario: Scenario, strategy: &str, figures: &Figures) {
    let early = figures.early_ms.map_or("-".to_owned(), |ms| format!("{:.1}", ms as f64 / 1000.0));
    let per_crash = match figures.crashes {
        0 => "-".to_owned(),
        crashes => (figures.lost_tokens / crashes).to_string(),
    };
    println!(
        "{:<7} {:<16} {:<12} {:>8} {:>9} {:>8} {:>8} {:>9} {:>8.1} {:>8.1} {:>10} {:>9}",
        site.name(),
        scenario.name(),
        strategy,
        figures.requests,
        figures.overspend_tokens,
        figures.refused,
        figures.falsely_refused,
        figures.unavoidable.map_or("-".to_owned(), |count| count.to_string()),
        figures.reads as f64 / scenario::DURATION_S as f64,
        figures.writes as f64 / scenario::DURATION_S as f64,
        per_crash,
        early,
    );
}
