//! What to lay out: how many processes, their settings, the templates of both
//! deployments.

use {
    crate::links::Links,
    eyre::{OptionExt, WrapErr},
    rand::Rng,
    serde_json::{Map, Value, json},
    std::{collections::BTreeMap, fs, net::SocketAddr, path::Path},
    sycamorerail_bench::{
        cluster::{Cluster as Layout, Role},
        layout::{self, merge, random_hex, sha256},
        scenario::Scenario,
    },
    sycamorerail_settings::template::Template,
};

const TEMPLATES: [&str; 2] = [
    include_str!("../../../examples/alpenfunk/template.yaml"),
    include_str!("../../../examples/rangmancha/template.yaml"),
];
/// Ports are tried from somewhere in this range, so that clusters of several
/// test runs seldom try the same ones.
const PORT_BASES: std::ops::Range<u16> = 21_000..30_000;

/// What to lay out.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the stand-ins.
    pub seed: u64,
    /// Entries that start with the cluster.
    pub entries: u16,
    /// Entries laid out for later, unknown to the others.
    pub spare_entries: u16,
    /// Upstreams that start with the cluster, each with its agent.
    pub upstreams: u16,
    /// Upstreams with agents laid out for later.
    pub spare_upstreams: u16,
    /// Slots of an upstream.
    pub slots: u16,
    /// Fields put over the settings of each entry.
    pub entry: Map<String, Value>,
    /// Fields put over the settings of each agent.
    pub agent: Map<String, Value>,
    /// Fields put over the settings of the platform's stand-in.
    pub platform: Map<String, Value>,
    /// Fields put over each kind of each template.
    pub kind: Map<String, Value>,
    /// Fields put over the quota of each template.
    pub quota: Map<String, Value>,
}

impl Default for Plan {
    /// Two entries and two upstreams. Deadlines are long, so that a busy
    /// machine does not change what comes of a job.
    fn default() -> Self {
        Self {
            seed: 1,
            entries: 2,
            spare_entries: 0,
            upstreams: 2,
            spare_upstreams: 0,
            slots: 8,
            entry: Map::new(),
            agent: Map::new(),
            platform: Map::new(),
            kind: fields(json!({"deadline_ms": 60_000})),
            quota: fields(json!({
                "starts_per_s": 100_000,
                "burst": 100_000,
                "max_in_flight": 100_000,
            })),
        }
    }
}

/// The fields of a JSON object; none of anything else.
#[must_use]
pub fn fields(value: Value) -> Map<String, Value> {
    match value {
        Value::Object(fields) => fields,
        _ => Map::new(),
    }
}

/// An organisation with the template to publish.
#[derive(Clone, Debug)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Token of its caller.
    pub token: String,
    /// Its template.
    pub yaml: String,
    /// Its kinds.
    pub kinds: Vec<Kind>,
}

/// A request kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Whether a request may run more than once.
    pub repeatable: bool,
}

impl Organisation {
    /// The first kind that may be repeated, or the first that may not.
    ///
    /// # Panics
    ///
    /// When the template has none.
    #[must_use]
    pub fn kind(&self, repeatable: bool) -> &str {
        let found = self.kinds.iter().find(|kind| kind.repeatable == repeatable);
        &found.expect("both templates have such a kind").name
    }
}

impl Plan {
    /// Writes settings and keys into a directory, and starts the relays.
    ///
    /// # Errors
    ///
    /// When files cannot be written or ports run out.
    pub async fn lay_out(&self, dir: &Path) -> eyre::Result<(Layout, Links)> {
        let port_base = rand::rng().random_range(PORT_BASES);
        let layout = layout::lay_out(&self.scenario()?, dir, port_base)?;
        let entries: Vec<_> = layout.of_role(Role::Entry).map(|entry| entry.name.clone()).collect();
        let links = Links::start(&entries, inner_addresses(&layout, dir)?).await?;
        self.put_relays(&layout, &links, dir)?;
        Ok((layout, links))
    }

    fn scenario(&self) -> eyre::Result<Scenario> {
        let (mut entry, mut agent) = (self.entry.clone(), self.agent.clone());
        for settings in [&mut entry, &mut agent] {
            settings.insert("fatal_invariants".to_owned(), true.into());
        }
        let scenario = json!({
            "name": "soak",
            "deployment": "alpenfunk",
            "seed": self.seed,
            "warm_up_ms": 0,
            "duration_ms": 1,
            "arrivals": {"load": 1.0},
            "sizes": {
                "entries": self.entries + self.spare_entries,
                "upstreams": self.upstreams + self.spare_upstreams,
                "slots": self.slots,
            },
            "overrides": {"entry": entry, "agent": agent, "platform": self.platform},
        });
        Ok(Scenario::parse(&serde_norway::to_string(&scenario)?)?)
    }

    /// Has all processes dial the entries' relays. Spare entries are unknown to
    /// the others.
    fn put_relays(&self, layout: &Layout, links: &Links, dir: &Path) -> eyre::Result<()> {
        let first = layout.of_role(Role::Entry).take(self.entries.into());
        let known: Vec<_> = first.filter_map(|entry| links.address(&entry.name)).collect();
        for (role, field) in [(Role::Entry, "peers"), (Role::Agent, "entries")] {
            for process in layout.of_role(role) {
                let path = dir.join(&process.settings);
                let mut settings = read_yaml(&path)?;
                let own = links.address(&process.name);
                let others = known.iter().filter(|address| Some(**address) != own);
                settings[field] = others.map(|address| json!(address)).collect();
                if let Some(own) = own {
                    settings["advertised_address"] = json!(own);
                }
                write_yaml(&path, &settings)?;
            }
        }
        Ok(())
    }

    /// The organisations of both deployments.
    ///
    /// # Errors
    ///
    /// When the example templates cannot be read.
    pub fn organisations(&self) -> eyre::Result<Vec<Organisation>> {
        TEMPLATES.iter().map(|yaml| self.organisation(yaml)).collect()
    }

    fn organisation(&self, example: &str) -> eyre::Result<Organisation> {
        let token = random_hex();
        let mut template: Value = serde_norway::from_str(example)?;
        template["callers"][0]["token_sha256"] = sha256(&token).into();
        merge(&mut template["quota"], &self.quota);
        let kinds = template["kinds"].as_array_mut().ok_or_eyre("no kinds in a template")?;
        kinds.iter_mut().for_each(|kind| merge(kind, &self.kind));
        let yaml = serde_norway::to_string(&template)?;
        let checked = Template::read(&yaml).map_err(|errors| eyre::eyre!("{errors}"))?;
        let kind = |kind: &sycamorerail_settings::template::KindTemplate| Kind {
            name: kind.name.clone(),
            repeatable: kind.repeatable,
        };
        let kinds = checked.kinds.iter().map(kind).collect();
        Ok(Organisation { name: checked.organisation, token, yaml, kinds })
    }
}

/// Inner addresses of entries and agents by name.
fn inner_addresses(layout: &Layout, dir: &Path) -> eyre::Result<BTreeMap<String, SocketAddr>> {
    let mut addresses = BTreeMap::new();
    for process in layout.of_role(Role::Entry).chain(layout.of_role(Role::Agent)) {
        let settings = read_yaml(&dir.join(&process.settings))?;
        let address = serde_json::from_value(settings["inner_address"].clone())?;
        addresses.insert(process.name.clone(), address);
    }
    Ok(addresses)
}

fn read_yaml(path: &Path) -> eyre::Result<Value> {
    let text = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    serde_norway::from_str(&text).wrap_err_with(|| path.display().to_string())
}

fn write_yaml(path: &Path, value: &Value) -> eyre::Result<()> {
    let text = serde_norway::to_string(value)?;
    fs::write(path, text).wrap_err_with(|| path.display().to_string())
}
