//! Waiting until processes of a cluster stand as they should.

use {
    super::{Cluster, Ended},
    crate::{http, operator::UpstreamStatus, wait::until},
    eyre::{WrapErr, eyre},
    sycamorerail_bench::cluster::Role,
};

impl Cluster {
    /// Waits for the end of a process that was told to stop.
    ///
    /// # Errors
    ///
    /// When it goes on for too long.
    pub async fn wait_end(&self, name: &str) -> eyre::Result<Ended> {
        until(&format!("{name} has stopped"), || async {
            self.reap()?;
            let state = self.state.lock();
            if state.running.contains_key(name) {
                return Ok(None);
            }
            let ended = state.ended.iter().rev().find(|ended| ended.name == name);
            Ok(Some(ended.cloned().ok_or_else(|| eyre!("{name} was not running"))?))
        })
        .await
    }

    /// Waits until a process answers, ready or not.
    ///
    /// # Errors
    ///
    /// When it ends, or takes too long.
    pub async fn wait_live(&self, name: &str) -> eyre::Result<()> {
        let address = self.http(name);
        until(&format!("{name} is live"), || async {
            self.check_alive()?;
            Ok(http::is_live(&self.client, address).await.then_some(()))
        })
        .await
        .wrap_err_with(|| self.log_tail(name))
    }

    /// Waits until a process says that it is ready.
    ///
    /// # Errors
    ///
    /// When it ends, or takes too long.
    pub async fn wait_ready(&self, name: &str) -> eyre::Result<()> {
        let address = self.http(name);
        until(&format!("{name} is ready"), || async {
            self.check_alive()?;
            Ok(http::is_ready(&self.client, address).await.then_some(()))
        })
        .await
        .wrap_err_with(|| self.log_tail(name))
    }

    /// Waits until every running entry may place work at the present run of an
    /// agent.
    ///
    /// # Errors
    ///
    /// When a process ends, or it takes too long.
    pub async fn wait_taking_work(&self, agent: &str) -> eyre::Result<()> {
        self.wait_live(agent).await?;
        let entries = self.running(Role::Entry);
        self.wait_seen(&entries, agent, "takes work of", UpstreamStatus::takes_work).await
    }

    /// Waits until these entries have heard a run of an agent that is not
    /// registered yet.
    ///
    /// # Errors
    ///
    /// When a process ends, or it takes too long.
    pub async fn wait_unregistered(&self, agent: &str, entries: &[&str]) -> eyre::Result<()> {
        self.wait_live(agent).await?;
        let what = "is not registered at";
        self.wait_seen(entries, agent, what, UpstreamStatus::is_unregistered).await
    }

    async fn wait_seen(
        &self,
        entries: &[impl AsRef<str>],
        agent: &str,
        what: &str,
        holds: fn(&UpstreamStatus) -> bool,
    ) -> eyre::Result<()> {
        let run = http::incarnation(&self.client, self.http(agent)).await?;
        for entry in entries.iter().map(AsRef::as_ref) {
            let address = self.http(entry);
            until(&format!("{agent} {what} {entry}"), || async {
                self.check_alive()?;
                let upstreams = self.operator.upstreams(address).await.told().unwrap_or_default();
                let seen = |one: &UpstreamStatus| one.incarnation == run && holds(one);
                Ok(upstreams.iter().any(seen).then_some(()))
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until an entry has a revision, or a later one, in force.
    ///
    /// # Errors
    ///
    /// When a process ends, or it takes too long.
    pub async fn wait_in_force(
        &self,
        entry: &str,
        organisation: &str,
        revision: u64,
    ) -> eyre::Result<u64> {
        let address = self.http(entry);
        until(&format!("revision {revision} of {organisation} at {entry}"), || async {
            self.check_alive()?;
            let in_force = self.operator.in_force(address).await.told().unwrap_or_default();
            Ok(in_force.get(organisation).copied().filter(|there| *there >= revision))
        })
        .await
    }
}
