//! Validated names of resources.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Error;

/// Maximum length of a resource name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// The name of a resource: 1 to 63 characters of `a-z`, `0-9`, `-` and `.`,
/// starting with a letter or digit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

impl Name {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for Name {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-.".contains(c);
        let valid = !text.is_empty()
            && text.len() <= MAX_NAME_BYTES
            && text.chars().all(allowed)
            && !text.starts_with(['-', '.']);
        if !valid {
            return Err(Error::Invalid {
                field: "name",
                value: text.chars().take(MAX_NAME_BYTES).collect(),
                rule: "1 to 63 of a-z, 0-9, '-', '.', starting with a letter or digit",
            });
        }
        Ok(Self(text.into()))
    }
}

impl TryFrom<String> for Name {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        Self::try_from(text.as_str())
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.as_ref().to_owned()
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
