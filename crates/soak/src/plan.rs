//! What to lay out: how many processes, their settings, the templates of both
//! deployments.

use {
    eyre::{OptionExt, WrapErr},
    rand::Rng,
    serde_json::{Map, Value, json},
    std::{fs, path::Path},
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
    /// Writes settings and keys into a directory.
    ///
    /// # Errors
    ///
    /// When files cannot be written or ports run out.
    pub fn lay_out(&self, dir: &Path) -> eyre::Result<Layout> {
        let port_base = rand::rng().random_range(PORT_BASES);
        let layout = layout::lay_out(&self.scenario()?, dir, port_base)?;
        self.hide_spares(&layout, dir)?;
        Ok(layout)
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

    /// Takes the spare entries out of the others' settings.
    fn hide_spares(&self, layout: &Layout, dir: &Path) -> eyre::Result<()> {
        let mut known = Vec::new();
        for entry in layout.of_role(Role::Entry).take(self.entries.into()) {
            known.push(read_yaml(&dir.join(&entry.settings))?["inner_address"].clone());
        }
        for (role, field) in [(Role::Entry, "peers"), (Role::Agent, "entries")] {
            for process in layout.of_role(role) {
                let path = dir.join(&process.settings);
                let mut settings = read_yaml(&path)?;
                let own = settings["inner_address"].clone();
                settings[field] =
                    known.iter().filter(|address| **address != own).cloned().collect();
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

fn read_yaml(path: &Path) -> eyre::Result<Value> {
    let text = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    serde_norway::from_str(&text).wrap_err_with(|| path.display().to_string())
}

fn write_yaml(path: &Path, value: &Value) -> eyre::Result<()> {
    let text = serde_norway::to_string(value)?;
    fs::write(path, text).wrap_err_with(|| path.display().to_string())
}
