//! Differences between two configuration documents, by the names of their entries.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::fmt;

use serde::Serialize;
use serde_json::{
    Map,
    Value, //
};

use crate::config::RawConfiguration;

/// Number of characters of an API key, or of its digest, that are shown.
const SHOWN_KEY_CHARS: usize = 4;

/// Fields with API keys or their digests.
const SECRET_FIELDS: [&str; 2] = ["apiKeys", "sha256"];

/// Fields that name an element of a list.
const NAME_FIELDS: [&str; 3] = ["name", "id", "service"];

/// A list of a document whose elements are entries with names.
#[derive(Clone, Copy, Debug)]
pub struct EntryList {
    /// Field of the document that has the list.
    pub field: &'static str,
    /// Kind of its entries.
    pub kind: &'static str,
}

/// Lists of the product's own document.
const LISTS: [EntryList; 3] = [
    EntryList {
        field: "organisation",
        kind: "organisation",
    },
    EntryList {
        field: "service",
        kind: "service",
    },
    EntryList {
        field: "backend",
        kind: "backend",
    },
];

/// What happened to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Change {
    /// Only the later document has it.
    Added,
    /// Only the earlier document has it.
    Removed,
    /// Both documents have it, with different fields.
    Changed,
}

/// A field with different values. API keys are shortened.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FieldDifference {
    /// Field, such as `engine.slots`.
    pub field: String,
    /// Value in the earlier document; `None` if the field is absent.
    pub before: Option<Value>,
    /// Value in the later document; `None` if the field is absent.
    pub after: Option<Value>,
}

/// An entry that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Kind of the entry; `document` for fields outside of lists.
    pub kind: &'static str,
    /// Name of the entry; empty for the document.
    pub name: String,
    /// What happened to it.
    pub change: Change,
    /// Its fields that differ.
    pub fields: Vec<FieldDifference>,
}

impl fmt::Display for Difference {
    /// Formats the entry as a line, and each field as a line below it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            "document" => write!(f, "document {}", self.change)?,
            kind => write!(f, "{kind} {:?} {}", self.name, self.change)?,
        }
        let shown = |value: &Option<Value>| {
            let value = value.as_ref().map(Value::to_string);
            value.unwrap_or_else(|| "(absent)".to_owned())
        };
        for field in &self.fields {
            let (before, after) = (shown(&field.before), shown(&field.after));
            match self.change {
                Change::Added => write!(f, "\n  {}: {after}", field.field)?,
                Change::Removed => write!(f, "\n  {}: {before}", field.field)?,
                Change::Changed => write!(f, "\n  {}: {before} -> {after}", field.field)?,
            }
        }
        Ok(())
    }
}

/// A scalar field of an entry. The identity in the map of fields has whole API keys.
struct Field {
    label: String,
    shown: Value,
    value: Value,
}

type Fields = BTreeMap<String, Field>;

/// Kind, name, and number among the entries of that name.
type EntryKey = (usize, String, usize);

/// Returns the entries that differ between two documents that are objects. Elements of `lists` are
/// entries; all other fields belong to the document.
pub fn differences(before: &Value, after: &Value, lists: &[EntryList]) -> Vec<Difference> {
    let (mut before, mut after) = (entries(before, lists), entries(after, lists));
    let keys: BTreeSet<EntryKey> = before.keys().chain(after.keys()).cloned().collect();
    let difference = |key: EntryKey| {
        let (earlier, later) = (before.remove(&key), after.remove(&key));
        let change = match (&earlier, &later) {
            (None, _) => Change::Added,
            (_, None) => Change::Removed,
            _ => Change::Changed,
        };
        let fields = changed(earlier.unwrap_or_default(), later.unwrap_or_default());
        let (list, name, _) = key;
        let difference = Difference {
            kind: lists.get(list).map_or("document", |list| list.kind),
            name,
            change,
            fields,
        };
        (change != Change::Changed || !difference.fields.is_empty()).then_some(difference)
    };
    keys.into_iter().filter_map(difference).collect()
}

/// Returns the differences between two documents of the product's own form.
pub fn configuration_differences(
    before: &RawConfiguration,
    after: &RawConfiguration,
) -> Result<Vec<Difference>, serde_json::Error> {
    let (before, after) = (serde_json::to_value(before)?, serde_json::to_value(after)?);
    Ok(differences(&before, &after, &LISTS))
}

fn changed(mut before: Fields, mut after: Fields) -> Vec<FieldDifference> {
    let ids: BTreeSet<String> = before.keys().chain(after.keys()).cloned().collect();
    let difference = |id: String| {
        let (earlier, later) = (before.remove(&id), after.remove(&id));
        let is_same = match (&earlier, &later) {
            (Some(earlier), Some(later)) => is_equal(&earlier.value, &later.value),
            _ => false,
        };
        let label = earlier.as_ref().or(later.as_ref())?.label.clone();
        (!is_same).then(|| FieldDifference {
            field: label,
            before: earlier.map(|field| field.shown),
            after: later.map(|field| field.shown),
        })
    };
    ids.into_iter().filter_map(difference).collect()
}

/// Returns whether two values are the same; `5` and `5.0` are.
fn is_equal(one: &Value, other: &Value) -> bool {
    let integral = |value: &Value| value.is_u64() || value.is_i64();
    one == other
        || !(integral(one) && integral(other))
            && one.as_f64().is_some_and(|one| other.as_f64() == Some(one))
}

fn entries(document: &Value, lists: &[EntryList]) -> BTreeMap<EntryKey, Fields> {
    let mut entries: BTreeMap<EntryKey, Fields> = BTreeMap::new();
    let own = entries.entry((lists.len(), String::new(), 0)).or_default();
    let no_fields = Map::new();
    let document = document.as_object().unwrap_or(&no_fields);
    let is_list = |field: &str| lists.iter().any(|list| list.field == field);
    for (field, value) in document.iter().filter(|(field, _)| !is_list(field)) {
        flatten(own, field, field, field, value);
    }
    for (index, list) in lists.iter().enumerate() {
        let elements = document.get(list.field).and_then(Value::as_array);
        let mut occurrences: BTreeMap<String, usize> = BTreeMap::new();
        for element in elements.into_iter().flatten() {
            let name = name(element).unwrap_or_default();
            let occurrence = occurrences.entry(name.to_owned()).or_default();
            let fields = entries
                .entry((index, name.to_owned(), *occurrence))
                .or_default();
            *occurrence += 1;
            for (field, value) in element.as_object().into_iter().flatten() {
                flatten(fields, field, field, field, value);
            }
        }
    }
    entries
}

fn name(element: &Value) -> Option<&str> {
    let fields = NAME_FIELDS.iter();
    fields
        .filter_map(|field| element.get(field)?.as_str())
        .next()
}

/// Adds the scalar fields below `value`. Elements of lists are named by their name field, or by their text,
/// and only otherwise by their position.
fn flatten(fields: &mut Fields, field: &str, id: &str, label: &str, value: &Value) {
    match value {
        Value::Object(members) if !members.is_empty() => {
            for (name, value) in members {
                let (id, label) = (format!("{id}.{name}"), format!("{label}.{name}"));
                flatten(fields, name, &id, &label, value);
            }
        }
        Value::Array(elements) if !elements.is_empty() => {
            let mut occurrences: BTreeMap<String, usize> = BTreeMap::new();
            for (index, element) in elements.iter().enumerate() {
                let text = element.as_str();
                let name = name(element).or(text).map(str::to_owned);
                let name = name.unwrap_or_else(|| index.to_string());
                let occurrence = occurrences.entry(name.clone()).or_default();
                *occurrence += 1;
                let id = format!("{id}[{name}]{occurrence}");
                match text {
                    Some(_) => flatten(fields, field, &id, label, element),
                    None => flatten(fields, field, &id, &format!("{label}[{name}]"), element),
                }
            }
        }
        scalar => {
            let shown = match scalar {
                Value::String(key) if SECRET_FIELDS.contains(&field) => {
                    let start: String = key.chars().take(SHOWN_KEY_CHARS).collect();
                    Value::String(start + "...")
                }
                shown => shown.clone(),
            };
            let field = Field {
                label: label.to_owned(),
                shown,
                value: scalar.clone(),
            };
            fields.insert(id.to_owned(), field);
        }
    }
}
