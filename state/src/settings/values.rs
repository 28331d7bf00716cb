//! A document checked against a schema.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use super::{
    document::{Document, Section},
    error::{Defect, SettingsError},
    schema::{Key, Presence, Schema, SectionSchema},
};

/// A document whose every key is known and has an allowed value, and which
/// has every required key.
///
/// The getters take a section and a key of the schema.
///
/// # Panics
///
/// Each getter panics when the schema has no such key or the key is of another
/// kind: that is a mistake of the program, not of the file.
#[derive(Clone, Copy, Debug)]
pub struct Values<'a> {
    document: &'a Document,
    schema: &'a Schema,
}

impl<'a> Values<'a> {
    /// Checks a document.
    ///
    /// # Errors
    ///
    /// Lists every defect of the document.
    pub fn check(document: &'a Document, schema: &'a Schema) -> Result<Self, SettingsError> {
        let mut defects = document.defects().to_vec();
        for section in document.sections() {
            match schema.section(&section.name) {
                Some(known) => check_properties(section, known, &mut defects),
                None => defects.push(unknown_section(section, schema)),
            }
        }
        for section in schema.sections {
            check_presence(document, section, &mut defects);
        }
        SettingsError::unless_empty(defects)?;
        Ok(Self { document, schema })
    }

    /// The line of a key; zero when the key was left out.
    pub fn line(&self, section: &str, key: &str) -> u32 {
        let section = self.document.section(section);
        let property = section.and_then(|section| section.property(key));
        property.map_or(0, |property| property.line)
    }

    /// A name, a URL or a chosen word.
    pub fn text(&self, section: &str, key: &str) -> String {
        self.required(section, key).to_owned()
    }

    /// A number.
    pub fn number(&self, section: &str, key: &str) -> u64 {
        let value = self.required(section, key);
        value.parse().expect("the schema checked the number")
    }

    /// A number of things in memory.
    pub fn size(&self, section: &str, key: &str) -> usize {
        let number = self.number(section, key);
        usize::try_from(number).expect("the schema's range fits the machine")
    }

    /// A time from a key in milliseconds.
    pub fn duration(&self, section: &str, key: &str) -> Duration {
        Duration::from_millis(self.number(section, key))
    }

    /// A time from a key in seconds, which may have a decimal point.
    pub fn seconds(&self, section: &str, key: &str) -> Duration {
        let value = self.required(section, key);
        Duration::from_secs_f64(value.parse().expect("the schema checked the number"))
    }

    /// A number that may have a decimal point, which is cut off.
    pub fn rounded_down(&self, section: &str, key: &str) -> u64 {
        let value = self.required(section, key);
        let number: f64 = value.parse().expect("the schema checked the number");
        number as u64
    }

    /// A number that may have a decimal point, in thousandths.
    pub fn thousandths(&self, section: &str, key: &str) -> u32 {
        let value = self.required(section, key);
        let number: f64 = value.parse().expect("the schema checked the number");
        (number * 1_000.0) as u32
    }

    /// An address.
    pub fn address(&self, section: &str, key: &str) -> SocketAddr {
        let value = self.required(section, key);
        value.parse().expect("the schema checked the address")
    }

    /// A path that must be there.
    pub fn path(&self, section: &str, key: &str) -> PathBuf {
        PathBuf::from(self.required(section, key))
    }

    /// A path that may be left out.
    pub fn optional_path(&self, section: &str, key: &str) -> Option<PathBuf> {
        self.value(section, key).map(PathBuf::from)
    }

    fn required(&self, section: &str, key: &str) -> &'a str {
        self.value(section, key)
            .expect("the schema requires the key or gives it a default")
    }

    fn value(&self, section: &str, key: &str) -> Option<&'a str> {
        let known = self.schema.section(section);
        let known = known.and_then(|section| section.key(key));
        let known = known.expect("the schema has the key");
        let section = self.document.section(section);
        match section.and_then(|section| section.property(key)) {
            Some(property) => Some(&property.value),
            None => default_of(known),
        }
    }
}

fn default_of(key: &Key) -> Option<&'static str> {
    match key.presence {
        Presence::Default(value) => Some(value),
        Presence::Required | Presence::Optional => None,
    }
}

fn unknown_section(section: &Section, schema: &Schema) -> Defect {
    let names: Vec<&str> = schema.sections.iter().map(|known| known.name).collect();
    let message = format!(
        "unknown section [{}]; {} has {}",
        section.name,
        schema.program,
        names.join(", ")
    );
    Defect::new(section.line, message)
}

fn check_properties(section: &Section, known: &SectionSchema, defects: &mut Vec<Defect>) {
    for property in &section.properties {
        let name = &property.key;
        let Some(key) = known.key(name) else {
            let message = format!("unknown key {name} in [{}]", section.name);
            defects.push(Defect::new(property.line, message));
            continue;
        };
        if let Err(allowed) = key.kind.check(&property.value) {
            let message = format!(
                "{name} of [{}] is {:?}; allowed: {allowed}",
                section.name, property.value
            );
            defects.push(Defect::new(property.line, message));
        }
    }
}

fn check_presence(document: &Document, known: &SectionSchema, defects: &mut Vec<Defect>) {
    let section = document.section(known.name);
    for key in known.keys {
        let present = section.is_some_and(|section| section.property(key.name).is_some());
        if key.presence == Presence::Required && !present {
            let message = format!(
                "{} of [{}] is missing; allowed: {}",
                key.name,
                known.name,
                key.kind.allowed()
            );
            defects.push(Defect::new(
                section.map_or(0, |section| section.line),
                message,
            ));
        }
    }
}
