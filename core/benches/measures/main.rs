//! Measures overspend and false refusals for the two sites of today, in calm and under failure, beside
//! two baselines on the same arrivals: a static equal split, and a store call for each request.
//!
//! `cargo bench -p doorswitch-core --bench measures` prints the table. Names of sites or scenarios as
//! arguments choose among them; `cover` shows what the cover time buys and costs.

#![allow(missing_docs, clippy::unwrap_used)]

mod baselines;
mod scenario;
#[path = "../../tests/world/mod.rs"]
mod world;

use scenario::{Figures, Scenario, Site};

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).filter(|it| !it.starts_with("--")).collect();
    let chosen =
        |name: &str| wanted.is_empty() || wanted.iter().any(|it| name.contains(it.as_str()));
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
            if !chosen(site.name()) && !chosen(scenario.name()) {
                continue;
            }
            let arrivals = scenario::arrivals(site, scenario, 11);
            show(
                site,
                scenario,
                "grants",
                &scenario::run(site, scenario, site.cover_s(), &arrivals),
            );
            show(site, scenario, "equal split", &baselines::equal_split(site, scenario, &arrivals));
            show(site, scenario, "store call", &baselines::store_call(site, scenario, &arrivals));
        }
    }
    if chosen("cover") {
        show_cover();
    }
}

/// What more cover buys in a cut region, and what it costs when routers die.
fn show_cover() {
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
        let deaths = figures(Scenario::Deaths);
        let lost = deaths.lost_tokens / deaths.deaths.max(1);
        println!("{cover_s:<8} {:>24} {lost:>24}", cut.falsely_refused);
    }
}

fn show(site: Site, scenario: Scenario, strategy: &str, figures: &Figures) {
    let early = figures.early_ms.map_or("-".to_owned(), |ms| format!("{:.1}", ms as f64 / 1000.0));
    let per_death = match figures.deaths {
        0 => "-".to_owned(),
        deaths => (figures.lost_tokens / deaths).to_string(),
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
        per_death,
        early,
    );
}
