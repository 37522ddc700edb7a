//! `doorswitch status`: shows a summary of each router.

use super::Error;
use serde_json::Value;

pub(super) fn command() -> clap::Command {
    clap::Command::new("status")
        .about("Shows for each router its state, configuration version, members and leaving VMs")
        .after_help(
            "The operators' key is read from DOORSWITCH_OPERATOR_KEY.\n\
             Example: doorswitch status --router http://127.0.0.1:9001 --router http://127.0.0.1:9002",
        )
        .arg(super::routers_arg())
        .arg(super::format_arg())
}

pub(super) fn run(matches: &clap::ArgMatches) -> Result<(), Error> {
    let urls: Vec<String> =
        matches.get_many::<String>("router").into_iter().flatten().cloned().collect();
    let mut rows = Vec::new();
    let mut failure = None;
    super::block_on(async {
        for url in &urls {
            match super::fetch_dump(url).await {
                Ok(dump) => rows.push(row(url, &dump)),
                Err(error) => {
                    rows.push(serde_json::json!({ "router": url, "fault": error.to_string() }));
                    failure = Some(error);
                }
            }
        }
    });
    if super::as_json(matches) {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        show(&rows);
    }
    failure.map_or(Ok(()), |error| Err(error.into()))
}

fn row(url: &str, dump: &Value) -> Value {
    let alive = |member: &&Value| member["health"] == "Alive";
    let members =
        dump["members"].as_array().map_or(0, |members| members.iter().filter(alive).count());
    serde_json::json!({
        "router": url,
        "vm": dump["vm"],
        "failure_domain": dump["failure_domain"],
        "lifecycle": dump["lifecycle"],
        "config_version": dump["config_version"],
        "store_era": dump["store_era"],
        "members": members + 1,
        "leaving_vms": dump["leaving_vms"],
        "quarantined": dump["quarantine"]["quarantined"].as_array().map_or(0, Vec::len),
        "limited_servers": count(&dump["limited_servers"]),
        "brittle_servers": count(&dump["brittle_servers"]),
        "backing_off_servers": count(&dump["backing_off_servers"]),
        "links": links(&dump["links"]),
        "versions": dump["versions"],
        "requests": dump["requests"].as_array().map_or(0, Vec::len),
        "unsettled": dump["unsettled"],
    })
}

/// The router's own links to servers: `ok`, `none`, or how many of them are lost.
fn links(links: &Value) -> String {
    match count(&links["lost_ms"]) {
        _ if !links["all_lost_ms"].is_null() => "none".to_owned(),
        0 => "ok".to_owned(),
        lost => format!("{lost} lost"),
    }
}

/// The number of services whose live servers have several software versions.
fn services_of_several_versions(versions: &Value) -> usize {
    let services = versions.as_object().into_iter().flat_map(serde_json::Map::values);
    services.filter(|versions| count(versions) > 1).count()
}

fn count(servers: &Value) -> usize {
    servers.as_object().map_or(0, serde_json::Map::len)
}

fn show(rows: &[Value]) {
    println!(
        "{:<28} {:<12} {:<10} {:>8} {:>5} {:>8} {:>9} {:>10} {:>11} {:>7} {:>7} {:>7} {:>8} {:>7}  LEAVING",
        "ROUTER",
        "VM",
        "STATE",
        "VERSION",
        "ERA",
        "MEMBERS",
        "REQUESTS",
        "UNSETTLED",
        "QUARANTINED",
        "LIMITED",
        "BRITTLE",
        "BACKOFF",
        "LINKS",
        "MIXED"
    );
    for row in rows {
        let plain = |key: &str| match &row[key] {
            Value::String(text) => text.clone(),
            Value::Null => "-".to_owned(),
            other => other.to_string(),
        };
        let leaving: Vec<&str> = row["leaving_vms"]
            .as_array()
            .map(|vms| vms.iter().filter_map(Value::as_str).collect())
            .unwrap_or_default();
        println!(
            "{:<28} {:<12} {:<10} {:>8} {:>5} {:>8} {:>9} {:>10} {:>11} {:>7} {:>7} {:>7} {:>8} {:>7}  {}",
            plain("router"),
            plain("vm"),
            if row["fault"].is_null() { plain("lifecycle") } else { "unreachable".to_owned() },
            plain("config_version"),
            plain("store_era"),
            plain("members"),
            plain("requests"),
            plain("unsettled"),
            plain("quarantined"),
            plain("limited_servers"),
            plain("brittle_servers"),
            plain("backing_off_servers"),
            plain("links"),
            services_of_several_versions(&row["versions"]),
            leaving.join(", ")
        );
    }
}
