//! The command line against real entries: a data centre is evacuated, listed and restored.

use {
    eyre::{OptionExt, ensure},
    serde_json::Value,
    std::{
        collections::BTreeMap,
        process::{Command, Output},
        sync::Arc,
    },
    sycamorerail_bench::{client::Outcome, cluster::Role},
    sycamorerail_soak::{
        binaries, load::Load, plan::Plan, standins::starts_at, testing::with_cluster, wait::until,
    },
};

const RUN_MS: u64 = 20;
const REQUESTS: usize = 20;
/// End of the command line where an argument is refused: `crates/cli/src/exit_codes.rs`.
const INVALID: i32 = 3;

/// An operator at one entry.
struct Operator<'a> {
    load: &'a Load,
    entry: String,
}

impl Operator<'_> {
    fn run(&self, args: &[&str]) -> eyre::Result<Output> {
        let url = format!("http://{}", self.load.cluster.http(&self.entry));
        let output = Command::new(binaries::directory()?.join("sycamorerail"))
            .args(args)
            .env("SYCAMORERAIL_ENTRY", url)
            .env("SYCAMORERAIL_TOKEN", &self.load.cluster.layout().operator_token)
            .output()?;
        Ok(output)
    }

    /// What a command that must succeed prints.
    fn tell(&self, args: &[&str]) -> eyre::Result<String> {
        let output = self.run(args)?;
        ensure!(output.status.success(), "{args:?}: {output:?}");
        Ok(String::from_utf8(output.stdout)?)
    }

    fn status(&self) -> eyre::Result<Value> {
        Ok(serde_json::from_str(&self.tell(&["--output", "json", "status"])?)?)
    }

    /// Upstreams by whether their data centre counts as evacuated here.
    fn upstreams_of(&self, data_centre: &str) -> eyre::Result<Vec<(String, bool)>> {
        let status = self.status()?;
        let all = status["upstreams"].as_array().ok_or_eyre("no upstreams")?;
        let here = all.iter().filter(|upstream| upstream["data_centre"] == data_centre);
        let told = here.filter_map(|upstream| {
            Some((upstream["upstream"].as_str()?.to_owned(), upstream["evacuated"].as_bool()?))
        });
        Ok(told.collect())
    }
}

fn operators(load: &Load) -> Vec<Operator<'_>> {
    let entries = load.cluster.running(Role::Entry);
    entries.into_iter().map(|entry| Operator { load, entry }).collect()
}

/// Waits until all entries agree on the evacuated data centres.
async fn until_listed(operators: &[Operator<'_>], names: &[&str]) -> eyre::Result<()> {
    for operator in operators {
        until("status lists the evacuations", || async {
            let status = operator.status()?;
            let listed = status["evacuations"].as_array().ok_or_eyre("no list")?;
            let listed: Vec<_> = listed.iter().map(|line| line["data_centre"].clone()).collect();
            Ok((listed == names).then_some(()))
        })
        .await?;
    }
    Ok(())
}

async fn starts(load: &Load) -> eyre::Result<BTreeMap<String, u64>> {
    let mut starts = BTreeMap::new();
    for upstream in load.cluster.running(Role::Upstream) {
        let count = starts_at(&load.cluster, &upstream).await?.starts;
        starts.insert(upstream, count);
    }
    Ok(starts)
}

async fn run_requests(load: &Load) -> eyre::Result<()> {
    for _ in 0..REQUESTS {
        let id = load.reserve_anywhere(0).await?;
        let request = load.request(0, id, false, RUN_MS);
        let outcome = load.settle(&request).await?.outcome;
        ensure!(outcome == Outcome::Complete, "{outcome:?}");
    }
    Ok(())
}

async fn evacuate_and_restore(load: Arc<Load>) -> eyre::Result<()> {
    let operators = operators(&load);
    let (first, last) = (&operators[0], &operators[operators.len() - 1]);
    let status = first.status()?;
    let name = status["upstreams"][0]["data_centre"].as_str().ok_or_eyre("no upstream")?;

    let told = first.tell(&["evacuate", name])?;
    ensure!(told.starts_with(&format!("{name}: evacuated, revision ")), "{told}");
    until_listed(&operators, &[name]).await?;
    let lines = last.tell(&["status"])?;
    ensure!(lines.contains(&format!("evacuations[0].data_centre: {name}\n")), "{lines}");
    let emptied = last.upstreams_of(name)?;
    ensure!(!emptied.is_empty() && emptied.iter().all(|(_, evacuated)| *evacuated), "{emptied:?}");
    let before = starts(&load).await?;
    run_requests(&load).await?;
    let after = starts(&load).await?;
    for (upstream, _) in &emptied {
        ensure!(before[upstream] == after[upstream], "{upstream}: {before:?} {after:?}");
    }
    let again = last.tell(&["evacuate", name])?;
    ensure!(again.starts_with(&format!("{name}: already evacuated by ")), "{again}");

    let told = last.tell(&["restore", name])?;
    ensure!(told.starts_with(&format!("{name}: restored, revision ")), "{told}");
    until_listed(&operators, &[]).await?;
    ensure!(first.upstreams_of(name)?.iter().all(|(_, evacuated)| !evacuated), "not restored");
    let again = first.tell(&["restore", name])?;
    ensure!(again == format!("{name}: not evacuated\n"), "{again}");
    run_requests(&load).await
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_listed_and_restored() {
    with_cluster(Plan::default(), evacuate_and_restore).await;
}

async fn refuse_unknown(load: Arc<Load>) -> eyre::Result<()> {
    let operators = operators(&load);
    let refused = operators[0].run(&["evacuate", "nowhere"])?;
    let complaint = String::from_utf8_lossy(&refused.stderr);
    ensure!(refused.status.code() == Some(INVALID), "{refused:?}");
    ensure!(complaint.contains("data_centre: found \"nowhere\"; allowed: "), "{complaint}");
    until_listed(&operators, &[]).await
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_data_centre_refused() {
    with_cluster(Plan::default(), refuse_unknown).await;
}
