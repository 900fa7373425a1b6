//! Edits the keys in a configuration document; comments and order are preserved.

use limpetweir_state::{
    KeyDigest,
    KeyId,
    OrganisationId, //
};
use snafu::{
    OptionExt,
    Snafu, //
};
use toml_edit::{
    ArrayOfTables,
    DocumentMut,
    InlineTable,
    Item,
    Table,
    TableLike,
    Value,
    value, //
};

/// Why a document cannot be changed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EditError {
    /// The document is not valid TOML.
    #[snafu(display("the configuration document is not TOML"))]
    Syntax,
    /// The organisation is not in the document.
    #[snafu(display("organisation {organisation} does not exist in the configuration"))]
    NoOrganisation {
        /// The organisation.
        organisation: OrganisationId,
    },
    /// The organisation already has a key of that name.
    #[snafu(display("organisation {organisation} already has a key {key}: use a different name"))]
    KeyExists {
        /// The organisation.
        organisation: OrganisationId,
        /// Name of the key.
        key: KeyId,
    },
    /// The organisation has no key of that name.
    #[snafu(display("organisation {organisation} has no key {key}"))]
    NoKey {
        /// The organisation.
        organisation: OrganisationId,
        /// Name of the key.
        key: KeyId,
    },
    /// The value of `key` is not a list of tables.
    #[snafu(display("the keys of organisation {organisation} are not a list of tables"))]
    NotAList {
        /// The organisation.
        organisation: OrganisationId,
    },
}

/// Adds a key with the given digest to an organisation and returns the changed document.
pub fn add_key(
    document: &str,
    organisation: &OrganisationId,
    key: &KeyId,
    digest: &KeyDigest,
) -> Result<String, EditError> {
    let mut document = parse(document)?;
    let table = find_organisation(&mut document, organisation)?;
    if key_index(table.get("key"), key).is_some() {
        let organisation = organisation.clone();
        let key = key.clone();
        return KeyExistsSnafu { organisation, key }.fail();
    }
    match table.get_mut("key") {
        None => {
            let mut keys = ArrayOfTables::new();
            keys.push(key_table(key, digest));
            table.insert("key", Item::ArrayOfTables(keys));
        }
        Some(Item::ArrayOfTables(keys)) => keys.push(key_table(key, digest)),
        Some(Item::Value(Value::Array(keys))) => keys.push(inline_key(key, digest)),
        Some(_) => {
            let organisation = organisation.clone();
            return NotAListSnafu { organisation }.fail();
        }
    }
    Ok(document.to_string())
}

/// Removes a key from an organisation and returns the changed document.
pub fn remove_key(
    document: &str,
    organisation: &OrganisationId,
    key: &KeyId,
) -> Result<String, EditError> {
    let mut document = parse(document)?;
    let table = find_organisation(&mut document, organisation)?;
    let index = key_index(table.get("key"), key).with_context(|| NoKeySnafu {
        organisation: organisation.clone(),
        key: key.clone(),
    })?;
    let remaining = match table.get_mut("key") {
        Some(Item::ArrayOfTables(keys)) => {
            keys.remove(index);
            keys.len()
        }
        Some(Item::Value(Value::Array(keys))) => {
            keys.remove(index);
            keys.len()
        }
        _ => 0,
    };
    if remaining == 0 {
        table.remove("key");
    }
    Ok(document.to_string())
}

fn parse(document: &str) -> Result<DocumentMut, EditError> {
    document.parse().map_err(|_| EditError::Syntax)
}

fn find_organisation<'d>(
    document: &'d mut DocumentMut,
    organisation: &OrganisationId,
) -> Result<&'d mut dyn TableLike, EditError> {
    let missing = || NoOrganisationSnafu {
        organisation: organisation.clone(),
    };
    let is_named = |table: &dyn TableLike| has_id(table, organisation.as_str());
    let item = document.get_mut("organisation").with_context(missing)?;
    let found = match item {
        Item::ArrayOfTables(tables) => tables
            .iter_mut()
            .map(|table| table as &mut dyn TableLike)
            .find(|table| is_named(*table)),
        Item::Value(Value::Array(values)) => values
            .iter_mut()
            .filter_map(Value::as_inline_table_mut)
            .map(|table| table as &mut dyn TableLike)
            .find(|table| is_named(*table)),
        _ => None,
    };
    found.with_context(missing)
}

fn has_id(table: &dyn TableLike, id: &str) -> bool {
    table.get("id").and_then(Item::as_str) == Some(id)
}

fn key_index(keys: Option<&Item>, key: &KeyId) -> Option<usize> {
    match keys? {
        Item::ArrayOfTables(keys) => keys.iter().position(|table| has_id(table, key.as_str())),
        Item::Value(Value::Array(keys)) => keys.iter().position(|value| {
            let table = value.as_inline_table();
            table.is_some_and(|table| has_id(table, key.as_str()))
        }),
        _ => None,
    }
}

fn key_table(key: &KeyId, digest: &KeyDigest) -> Table {
    let mut table = Table::new();
    table.insert("id", value(key.as_str()));
    table.insert("sha256", value(digest.to_hex()));
    table
}

fn inline_key(key: &KeyId, digest: &KeyDigest) -> InlineTable {
    let mut table = InlineTable::new();
    table.insert("id", key.as_str().into());
    table.insert("sha256", digest.to_hex().into());
    table
}
