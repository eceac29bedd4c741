//! The organisations' templates in force, compiled for the path of a request.

use {
    crate::names::Names,
    sha2::{Digest, Sha256},
    std::{collections::HashMap, sync::Arc},
    sycamorerail_decide::{
        placement::Spread,
        view::{DataCentreKey, KindKey},
    },
    sycamorerail_settings::template::{
        KindTemplate, PolicyTemplate, Priority, Quota, SpreadTemplate, Template, Urgency,
    },
    sycamorerail_wire::{ids::OrganisationKey, message::ConfigMark},
};

/// SHA-256 of a token.
pub type TokenHash = [u8; 32];

/// One organisation.
#[derive(Debug)]
pub struct Organisation {
    /// Name.
    pub name: String,
    /// Key in ids.
    pub key: OrganisationKey,
    /// Revision of the template.
    pub revision: u64,
    /// Share of the upstreams.
    pub quota: Quota,
    /// Request kinds by name.
    pub kinds: HashMap<String, Arc<Kind>>,
}

/// One request kind.
#[derive(Debug)]
pub struct Kind {
    /// Key in the view.
    pub key: KindKey,
    /// Name.
    pub name: String,
    /// Lower goes first.
    pub urgency: u8,
    /// Longest time to the answer.
    pub deadline_ms: u32,
    /// Placement across data centres.
    pub spread: Spread,
    /// Data centres not to be used.
    pub avoid: Vec<DataCentreKey>,
    /// How the upstream of a task is chosen.
    pub policy: PolicyTemplate,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// What is given up first.
    pub priority: Priority,
    /// Declared size of a task.
    pub size_bytes: u64,
    /// Declared run time of a task.
    pub run_ms: u32,
    /// Attempts at a repeatable request, the first included.
    pub max_attempts: u8,
    /// Percentile of run times at which a repeatable request is hedged.
    pub hedge_percentile: Option<u8>,
}

/// All organisations in force.
#[derive(Debug, Default)]
pub struct Organisations {
    /// Configuration mark up to which the set is complete.
    pub mark: ConfigMark,
    by_token: HashMap<TokenHash, Arc<Organisation>>,
    by_key: HashMap<OrganisationKey, Arc<Organisation>>,
}

impl Organisations {
    /// Compiles templates, each with its revision.
    #[must_use]
    pub fn compile(names: &Names, mark: ConfigMark, templates: &[(u64, Template)]) -> Self {
        let mut compiled = Self { mark, ..Self::default() };
        for (revision, template) in templates {
            compiled.add(names, *revision, template);
        }
        compiled
    }

    fn add(&mut self, names: &Names, revision: u64, template: &Template) {
        let key = OrganisationKey::of(&template.organisation);
        let kinds = template.kinds.iter().map(|kind| {
            let compiled = compile_kind(names, &template.organisation, kind);
            (kind.name.clone(), Arc::new(compiled))
        });
        let organisation = Arc::new(Organisation {
            name: template.organisation.clone(),
            key,
            revision,
            quota: template.quota,
            kinds: kinds.collect(),
        });
        for token in &template.callers {
            if let Some(hash) = parse_hash(&token.token_sha256) {
                self.by_token.insert(hash, Arc::clone(&organisation));
            }
        }
        self.by_key.insert(key, organisation);
    }

    /// The organisation of a caller's token. The token is hashed first, so
    /// that the time of the look-up tells nothing of stored tokens.
    #[must_use]
    pub fn of_token(&self, token: &str) -> Option<&Arc<Organisation>> {
        let hash: TokenHash = Sha256::digest(token.as_bytes()).into();
        self.by_token.get(&hash)
    }

    /// The organisation with this key.
    #[must_use]
    pub fn of_key(&self, key: OrganisationKey) -> Option<&Arc<Organisation>> {
        self.by_key.get(&key)
    }

    /// All organisations, in no order.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_key.values()
    }
}

fn compile_kind(names: &Names, organisation: &str, kind: &KindTemplate) -> Kind {
    Kind {
        key: names.kind(organisation, &kind.name),
        name: kind.name.clone(),
        urgency: urgency_rank(kind.urgency),
        deadline_ms: kind.deadline_ms,
        spread: spread(kind.placement.spread),
        avoid: kind.placement.avoid.iter().map(|name| names.data_centre(name)).collect(),
        policy: kind.placement.policy,
        repeatable: kind.repeatable,
        priority: kind.priority,
        size_bytes: kind.size_bytes,
        run_ms: kind.run_ms,
        max_attempts: kind.max_attempts.max(1),
        hedge_percentile: kind.hedge_percentile,
    }
}

fn urgency_rank(urgency: Urgency) -> u8 {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Background => 2,
    }
}

fn spread(spread: SpreadTemplate) -> Spread {
    match spread {
        SpreadTemplate::Even => Spread::Even,
        SpreadTemplate::Local => Spread::Local,
        SpreadTemplate::Avoid => Spread::Avoid,
    }
}

/// Reads a SHA-256 of 64 hexadecimal digits.
#[must_use]
pub fn parse_hash(text: &str) -> Option<TokenHash> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut hash = [0; 32];
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(hash)
}
