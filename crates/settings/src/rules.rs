//! Validation rules for text fields.

/// Maximum length of a name, in characters.
pub const MAX_NAME_CHARS: usize = 64;

/// A rule for the text of a field.
#[derive(Clone, Copy)]
pub(crate) struct TextRule {
    /// Description of the allowed texts, for error messages.
    pub(crate) allowed: &'static str,
    /// Returns whether a text is allowed.
    pub(crate) is_allowed: fn(&str) -> bool,
}

/// Names of processes, data centres, racks, organisations, kinds and callers.
pub(crate) const NAME: TextRule =
    TextRule { allowed: "1 to 64 of the characters a-z 0-9 _ -", is_allowed: is_name };

/// SHA-256 of a token, in hexadecimal.
pub(crate) const SHA256: TextRule = TextRule {
    allowed: "64 hexadecimal digits in lower case, as `sycamorerail keys token` prints them",
    is_allowed: is_sha256,
};

/// Base URL of a peer.
pub(crate) const HTTP_URL: TextRule =
    TextRule { allowed: "a base URL such as http://127.0.0.1:2379", is_allowed: is_http_url };

/// Pattern for the request kinds that an upstream serves.
pub(crate) const KIND_PATTERN: TextRule =
    TextRule { allowed: "organisation/kind, */kind or *", is_allowed: is_kind_pattern };

/// Returns whether `text` is a valid name: `[a-z0-9_-]{1,64}`.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| matches!(c, 'a'..='z' | '0'..='9' | '_' | '-');
    (1..=MAX_NAME_CHARS).contains(&text.len()) && text.chars().all(allowed)
}

fn is_sha256(text: &str) -> bool {
    text.len() == 64 && text.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'))
}

fn is_http_url(text: &str) -> bool {
    let Some(rest) = text.strip_prefix("http://") else {
        return false;
    };
    let authority = rest.split('/').next().unwrap_or_default();
    !authority.is_empty() && rest.chars().all(|c| c.is_ascii_graphic() && !"?#".contains(c))
}

fn is_kind_pattern(text: &str) -> bool {
    match text.split_once('/') {
        None => text == "*",
        Some((organisation, kind)) => {
            (organisation == "*" || is_name(organisation)) && is_name(kind)
        }
    }
}
