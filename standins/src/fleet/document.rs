//! Builder of configuration documents.

use std::fmt;

use super::settings::key_digest;

/// A configuration document; `Display` writes it as TOML.
#[derive(Debug, Clone, Default)]
pub struct Document {
    text: String,
}

impl Document {
    /// Returns an empty document.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an organisation that may use `services`, with `keys` as pairs of id and key.
    #[must_use]
    pub fn organisation(
        mut self,
        id: &str,
        (rate, burst): (f64, f64),
        services: &[&str],
        keys: &[(&str, &str)],
    ) -> Self {
        self.text += &format!(
            "[[organisation]]\nid = \"{id}\"\nrate = {rate:?}\nburst = {burst:?}\n\
             services = {services:?}\n"
        );
        for (id, key) in keys {
            let digest = key_digest(key);
            self.text += &format!("[[organisation.key]]\nid = \"{id}\"\nsha256 = \"{digest}\"\n");
        }
        self
    }

    /// Adds a service with the additional `fields`, and one backend server with 8 slots per
    /// address; the servers are named `<prefix>0`, `<prefix>1` and so on.
    #[must_use]
    pub fn service<A: fmt::Display>(
        mut self,
        id: &str,
        fields: &str,
        prefix: char,
        addresses: impl IntoIterator<Item = A>,
    ) -> Self {
        let mut names = Vec::new();
        let mut backends = String::new();
        for (index, address) in addresses.into_iter().enumerate() {
            let name = format!("{prefix}{index}");
            backends += &format!(
                "[[backend]]\nid = \"{name}\"\nservice = \"{id}\"\nzone = \"z1\"\n\
                 address = \"{address}\"\nslots = 8\nchecks_fencing = true\n"
            );
            names.push(name);
        }
        self.text += &format!("[[service]]\nid = \"{id}\"\n{fields}\nbackends = {names:?}\n");
        self.text += &backends;
        self
    }
}

impl fmt::Display for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
