//! Carries out what `garbage` decides, at a slow pace.

use {
    crate::{
        error::{MembershipError, MembershipStep},
        fencing,
        garbage::{self, Change, Memory, Sight, SweepTimes},
        keys::{self, AGENTS, HOMES},
        members::Members,
        membership::{Shared, unix_ms},
        record,
    },
    std::time::Duration,
    sycamorerail_platform::{Expected, PlatformError, backoff::jittered},
    sycamorerail_telemetry::event,
    sycamorerail_wire::ids::Incarnation,
    tokio::time::sleep,
};

/// Sweeps for as long as the entry runs. It rests while the mirror is old.
pub(crate) async fn sweep_on(shared: &Shared) {
    let mut memory = Memory::default();
    let times = SweepTimes {
        retention_ms: shared.config.retention_ms.into(),
        clock_margin_ms: shared.config.clock_margin_ms.into(),
    };
    loop {
        sleep(sweep_pause(shared)).await;
        if !shared.mirror.synced() || !shared.mirror.healthy() {
            continue;
        }
        let members = shared.members();
        for change in due(shared, &members, &mut memory, times) {
            if let Err(error) = carry_out(shared, &members, &mut memory, change).await {
                event!(Debug, "sweep_failed", error = error);
            }
        }
    }
}

fn sweep_pause(shared: &Shared) -> Duration {
    jittered(u64::from(shared.config.sweep_pause_ms).max(2))
}

fn due(shared: &Shared, members: &Members, memory: &mut Memory, times: SweepTimes) -> Vec<Change> {
    let connected = |agent| (shared.hooks.connected)(agent);
    let sight = Sight { members, own: shared.settled(), connected: &connected };
    garbage::decide(memory, &sight, times, shared.now_ms())
}

async fn carry_out(
    shared: &Shared,
    members: &Members,
    memory: &mut Memory,
    change: Change,
) -> Result<(), MembershipError> {
    count(change);
    match change {
        Change::RetireAgent(agent) => set_retired(shared, members, agent, true).await,
        Change::RestoreAgent(agent) => set_retired(shared, members, agent, false).await,
        Change::DeleteAgent(agent) => {
            let modified = members.agents.get(&agent).map(|known| known.modified);
            delete(shared, AGENTS, agent, modified).await
        }
        Change::DeleteHome(home) => {
            let modified = members.homes.get(&home).map(|known| known.modified);
            delete(shared, HOMES, home, modified).await
        }
        Change::SilenceFence(home) => silence(shared, members, home).await,
        Change::FenceHome(home) => {
            let Some(known) = members.homes.get(&home) else { return Ok(()) };
            if (shared.hooks.reaches)(known.record.inner_address, home).await {
                // Cut off from the platform alone: it serves on.
                memory.home_answered(home);
                return Ok(());
            }
            silence(shared, members, home).await
        }
    }
}

async fn silence(
    shared: &Shared,
    members: &Members,
    home: Incarnation,
) -> Result<(), MembershipError> {
    let known = members.fenced.get(&home).map(|fence| (fence.record.clone(), fence.modified));
    fencing::silence(&shared.platform, home, known, unix_ms()).await
}

async fn set_retired(
    shared: &Shared,
    members: &Members,
    agent: Incarnation,
    retired: bool,
) -> Result<(), MembershipError> {
    let Some(known) = members.agents.get(&agent) else { return Ok(()) };
    let mut agent_record = known.record.clone();
    agent_record.retired = retired;
    let key = keys::key(AGENTS, agent);
    let value = record::to_json(&agent_record);
    let expected = Expected::Modified(known.modified);
    shared.platform.swap(&key, expected, &value, None, &[]).await.map(|_| ()).map_err(failed)
}

async fn delete(
    shared: &Shared,
    prefix: &str,
    incarnation: Incarnation,
    modified: Option<u64>,
) -> Result<(), MembershipError> {
    let Some(modified) = modified else { return Ok(()) };
    let key = keys::key(prefix, incarnation);
    shared.platform.delete(&key, modified).await.map(|_| ()).map_err(failed)
}

fn failed(error: PlatformError) -> MembershipError {
    MembershipError::Platform(MembershipStep::Sweep, error)
}

fn count(change: Change) {
    let name = match change {
        Change::RetireAgent(_) => "retire_agent",
        Change::RestoreAgent(_) => "restore_agent",
        Change::DeleteAgent(_) => "delete_agent",
        Change::FenceHome(_) => "fence_home",
        Change::SilenceFence(_) => "silence_fence",
        Change::DeleteHome(_) => "delete_home",
    };
    metrics::counter!("sycamorerail_sweeps_total", "change" => name).increment(1);
}
