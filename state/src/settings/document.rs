//! The lines of an INI file as sections and keys.
//!
//! Whitespace around names and values is dropped. A comment is a line that
//! starts with `;`. A value goes to the end of its line.

use std::collections::HashMap;

use ini_core::{Item, Parser};

use super::error::{Defect, SettingsError};

/// A file as it was written, without judgement of its keys.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Document {
    /// Sections in their order; no name stands twice.
    sections: Vec<Section>,
    /// What was already wrong with the lines themselves.
    defects: Vec<Defect>,
}

/// One section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    /// The name between the brackets.
    pub name: String,
    /// Line of the header, from 1.
    pub line: u32,
    /// Properties in their order; no key stands twice.
    pub properties: Vec<Property>,
}

/// One key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Property {
    /// The key.
    pub key: String,
    /// The value, to the end of its line.
    pub value: String,
    /// Line of the property, from 1.
    pub line: u32,
}

impl Document {
    /// The sections, in their order.
    pub fn sections(&self) -> &[Section] {
        &self.sections
    }

    /// A section by its name.
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.name == name)
    }

    /// What is wrong with the lines themselves.
    ///
    /// These are kept, and not returned by `try_from`, so that a check against
    /// a schema can list them together with its own.
    pub fn defects(&self) -> &[Defect] {
        &self.defects
    }
}

impl Section {
    /// A property by its key.
    pub fn property(&self, key: &str) -> Option<&Property> {
        self.properties.iter().find(|property| property.key == key)
    }
}

impl TryFrom<&[u8]> for Document {
    type Error = SettingsError;

    /// Splits a file into its sections.
    ///
    /// Fails only when the file has no text at all: other defects are kept for
    /// the check against a schema.
    fn try_from(bytes: &[u8]) -> Result<Self, SettingsError> {
        if bytes.iter().all(u8::is_ascii_whitespace) {
            let empty = Defect::new(0, "the settings file is empty");
            SettingsError::unless_empty(vec![empty])?;
        }
        let mut builder = Builder::new(lines_that_are_not_utf8(bytes));
        // A last line without its end would not be counted by the parser.
        let text = format!("{}\n", String::from_utf8_lossy(bytes));
        let mut parser = Parser::new(&text).auto_trim(true);
        while let Some(item) = parser.next() {
            builder.add(parser.line(), item);
        }
        Ok(builder.document)
    }
}

fn lines_that_are_not_utf8(bytes: &[u8]) -> Vec<Defect> {
    (1..)
        .zip(bytes.split(|byte| *byte == b'\n'))
        .filter(|(_, line)| std::str::from_utf8(line).is_err())
        .map(|(number, _)| Defect::new(number, "the line is not UTF-8"))
        .collect()
}

/// Collects the items of a file.
struct Builder {
    document: Document,
    /// Line on which a section's name was first seen.
    section_lines: HashMap<String, u32>,
    /// Whether properties belong to the last section; false before the first
    /// one and inside a header that was refused.
    in_section: bool,
    /// Whether properties are passed over, because their header was refused.
    skipping: bool,
}

impl Builder {
    fn new(defects: Vec<Defect>) -> Self {
        Self {
            document: Document {
                sections: Vec::new(),
                defects,
            },
            section_lines: HashMap::new(),
            in_section: false,
            skipping: false,
        }
    }

    fn add(&mut self, line: u32, item: Item<'_>) {
        match item {
            Item::Section(name) => self.open_section(line, name),
            Item::Property(key, Some(value)) => self.add_property(line, key, value),
            Item::Property(text, None) => {
                self.defect(
                    line,
                    format!("{text:?} is neither KEY = VALUE nor [SECTION]"),
                );
            }
            Item::Error(text) => {
                self.skip_section();
                self.defect(
                    line,
                    format!("the section header {text:?} has no closing ]"),
                );
            }
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
        }
    }

    fn open_section(&mut self, line: u32, name: &str) {
        if let Some(first) = self.section_lines.get(name).copied() {
            self.skip_section();
            self.defect(
                line,
                format!("section [{name}] stands on line {first} already"),
            );
            return;
        }
        self.section_lines.insert(name.to_owned(), line);
        self.in_section = true;
        self.skipping = false;
        self.document.sections.push(Section {
            name: name.to_owned(),
            line,
            properties: Vec::new(),
        });
    }

    fn skip_section(&mut self) {
        self.in_section = false;
        self.skipping = true;
    }

    fn add_property(&mut self, line: u32, key: &str, value: &str) {
        if self.skipping {
            return;
        }
        let section = self.document.sections.last_mut();
        let Some(section) = section.filter(|_| self.in_section) else {
            self.defect(line, format!("{key} stands before the first section"));
            return;
        };
        if let Some(first) = section.property(key).map(|property| property.line) {
            let name = &section.name;
            let message = format!("{key} of [{name}] stands on line {first} already");
            self.defect(line, message);
            return;
        }
        section.properties.push(Property {
            key: key.to_owned(),
            value: value.to_owned(),
            line,
        });
    }

    fn defect(&mut self, line: u32, message: String) {
        self.document.defects.push(Defect::new(line, message));
    }
}
