//! Resources from files.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use rosebend_state::resource::{RawResource, Resource};
use serde::Deserialize;

use crate::report::Failure;

/// What a file holds.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Many(Vec<serde_json::Value>),
    One(serde_json::Value),
}

/// Reads all resources of some files and folders, in an order in which each
/// kind comes after those that it names.
///
/// # Errors
///
/// Lists everything that is not accepted, with the file's name.
pub fn load(paths: &[PathBuf]) -> Result<Vec<Resource>, Failure> {
    let mut resources: Vec<Resource> = Vec::new();
    let mut defects = Vec::new();
    for path in paths {
        match files(path) {
            Ok(files) => load_files(&files, &mut resources, &mut defects),
            Err(error) => defects.push(format!("{}: {error}", path.display())),
        }
    }
    resources.sort_by_key(Resource::key);
    for pair in resources.windows(2) {
        if pair[0].key() == pair[1].key() {
            defects.push(format!("{} stands twice in the files", pair[0].key()));
        }
    }
    match defects.is_empty() {
        true => Ok(resources),
        false => Err(Failure::Usage(defects.join("\nrosebend: "))),
    }
}

/// The file itself, or the JSON files of a folder by name.
fn files(path: &Path) -> io::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(path)? {
        let file = entry?.path();
        if file
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

fn load_files(files: &[PathBuf], resources: &mut Vec<Resource>, defects: &mut Vec<String>) {
    for file in files {
        let content = match read(file) {
            Ok(content) => content,
            Err(defect) => {
                defects.push(format!("{}: {defect}", file.display()));
                continue;
            }
        };
        for value in content {
            match check(value) {
                Ok(resource) => resources.push(resource),
                Err(defect) => defects.push(format!("{}: {defect}", file.display())),
            }
        }
    }
}

fn read(file: &Path) -> Result<Vec<serde_json::Value>, String> {
    let bytes = fs::read(file).map_err(|error| error.to_string())?;
    match serde_json::from_slice(&bytes).map_err(|error| error.to_string())? {
        Content::Many(values) => Ok(values),
        Content::One(value) => Ok(vec![value]),
    }
}

fn check(value: serde_json::Value) -> Result<Resource, String> {
    let raw: RawResource = serde_json::from_value(value).map_err(|error| error.to_string())?;
    Resource::try_from(raw).map_err(|error| error.to_string())
}
