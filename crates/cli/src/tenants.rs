//! The `tenants --logs FILE` command: shows which tenants reached their limit, and the outcomes of
//! their requests.

use crate::error::ClientError;
use crate::log_lines;
use std::collections::{BTreeMap, BTreeSet};

/// Limit and outcomes of one tenant.
#[derive(Default)]
struct Tenant {
    /// Limit of the newest configuration version in the logs.
    rate_per_s: f64,
    burst: f64,
    version: f64,
    refused: u64,
    /// Refused requests that were the first of their program.
    refused_at_begin: u64,
    /// All other requests at the limit; they were granted after a wait.
    late: u64,
    /// Requests that were admitted locally or failed because the owner of the quota could not be
    /// reached.
    without_owner: u64,
    /// Programs with refused requests.
    programs: BTreeSet<String>,
}

/// Prints the tenants that reached their limit, those with the most refusals first.
///
/// # Errors
/// A file cannot be read.
pub fn run(files: &[String]) -> Result<(), ClientError> {
    let mut tenants: BTreeMap<String, Tenant> = BTreeMap::new();
    log_lines::read(files, |line| {
        if line.event() != "at_limit" {
            return;
        }
        let tenant = tenants.entry(line.text("tenant").to_owned()).or_default();
        let version = line.number("version").unwrap_or_default();
        if version >= tenant.version {
            tenant.version = version;
            tenant.rate_per_s = line.number("rate_per_s").unwrap_or_default();
            tenant.burst = line.number("burst").unwrap_or_default();
        }
        match line.text("outcome") {
            "refused" => {
                tenant.refused += 1;
                let begins = line.fields.get("begins").and_then(|value| value.as_bool());
                tenant.refused_at_begin += u64::from(begins == Some(true));
                tenant.programs.insert(line.text("program").to_owned());
            }
            "unasked" | "unknown" => tenant.without_owner += 1,
            _ => tenant.late += 1,
        }
    })?;
    let mut rows: Vec<(&String, &Tenant)> = tenants.iter().collect();
    rows.sort_by_key(|(_, tenant)| std::cmp::Reverse((tenant.refused, tenant.late)));
    println!("tenant rate_per_s burst version refused at_begin programs late without_owner");
    for (name, tenant) in &rows {
        println!(
            "{name} {} {} {} {} {} {} {} {}",
            tenant.rate_per_s,
            tenant.burst,
            tenant.version,
            tenant.refused,
            tenant.refused_at_begin,
            tenant.programs.len(),
            tenant.late,
            tenant.without_owner
        );
    }
    println!("{} tenants were at their limit", rows.len());
    Ok(())
}
