//! Validation of both lists, run before an edit is written to the store.

use std::collections::HashMap;

use base::{
    ini::{FileFault, FileFaults, IniFile, IniSection},
    prelude::*,
};

use crate::{
    image::ListImage,
    plans::read_customer,
    rights::{read_adapter, read_model, read_plan, read_service},
    section::{SectionKind, SectionName},
    set::ListSet,
};

/// Result of a check; the error holds every fault of both files.
pub type Result<T, E = FileFaults> = std::result::Result<T, E>;

/// File name under which faults of the list of plans are reported.
pub const PLANS_FILE: &str = "plans.ini";
/// File name under which faults of the list of rights are reported.
pub const RIGHTS_FILE: &str = "rights.ini";

/// Parses both lists and checks each by itself and the references between them.
///
/// # Errors
///
/// Returns all faults of both files, each with file, line, section and key.
pub fn check_lists(plans: &str, rights: &str) -> Result<ListImage> {
    let mut faults = Vec::new();
    let plans = parse_file(PLANS_FILE, plans, &mut faults);
    let rights = parse_file(RIGHTS_FILE, rights, &mut faults);
    let in_plans = |kind| kind == SectionKind::Customer;
    check_sections(&plans, in_plans, &mut faults);
    check_sections(&rights, |kind| !in_plans(kind), &mut faults);
    let image = ListImage::from_files(&plans, &rights).ok();
    let set = image.as_ref().and_then(|i| ListSet::from_image(ListVersion(0), i).ok());
    if let Some(set) = set {
        check_customers(&plans, &set, &mut faults);
        check_plans(&rights, &set, &mut faults);
        check_models(&rights, &set, &mut faults);
        check_adapters(&rights, &set, &mut faults);
    }
    match image {
        Some(image) if faults.is_empty() => Ok(image),
        _ => Err(FileFaults { faults }),
    }
}

fn parse_file(name: &str, text: &str, faults: &mut Vec<FileFault>) -> IniFile {
    IniFile::parse(name, text).unwrap_or_else(|mut found| {
        faults.append(&mut found.faults);
        IniFile { name: name.to_owned(), sections: Vec::new() }
    })
}

fn check_sections(file: &IniFile, belongs: impl Fn(SectionKind) -> bool, f: &mut Vec<FileFault>) {
    let mut seen = HashMap::new();
    for section in &file.sections {
        let name = match section.name.parse::<SectionName>() {
            Ok(name) => name,
            Err(error) => {
                f.push(section_fault(file, section, &error.to_string()));
                continue;
            }
        };
        if !belongs(name.kind) {
            f.push(section_fault(file, section, "a section of a kind that this list may hold"));
        }
        if let Some(first) = seen.insert(name.clone(), section.line) {
            f.push(section_fault(
                file,
                section,
                &format!("a unique name; line {first} already uses this one"),
            ));
        }
        if let Err(mut found) = read_section(&file.name, section, &name) {
            f.append(&mut found);
        }
    }
}

fn read_section(
    file: &str,
    section: &IniSection,
    name: &SectionName,
) -> Result<(), Vec<FileFault>> {
    let text = name.name.as_str();
    match name.kind {
        SectionKind::Customer => read_customer(file, section, text).map(drop),
        SectionKind::Plan => read_plan(file, section, text).map(drop),
        SectionKind::Model => read_model(file, section, text).map(drop),
        SectionKind::Adapter => read_adapter(file, section, text).map(drop),
        SectionKind::Service => read_service(file, section, text).map(drop),
    }
}

fn check_customers(file: &IniFile, set: &ListSet, faults: &mut Vec<FileFault>) {
    let mut holders: HashMap<String, String> = HashMap::new();
    for (section, name) in sections_of(file, SectionKind::Customer) {
        let customer = CustomerId::new(name.as_str()).ok().and_then(|id| set.customer(&id));
        let Some(customer) = customer else { continue };
        if set.plan(&customer.plan).is_none() {
            faults.push(key_fault(file, section, "plan", "a plan of the list of rights"));
        }
        for hash in &customer.key_hashes {
            if let Some(holder) = holders.insert(hash.to_string(), name.clone()) {
                let expected = format!("a key hash that {holder} does not use");
                faults.push(key_fault(file, section, "key-hash", &expected));
            }
        }
    }
}

fn check_plans(file: &IniFile, set: &ListSet, faults: &mut Vec<FileFault>) {
    for (section, name) in sections_of(file, SectionKind::Plan) {
        let plan = PlanName::new(name).ok().and_then(|name| set.plan(&name));
        let Some(plan) = plan else { continue };
        let unknown = |name: &&str| ModelId::new(*name).is_ok_and(|id| set.model(&id).is_none());
        for name in plan.models.exact_names().filter(unknown) {
            faults.push(key_fault(file, section, "models", &format!("known models, not {name}")));
        }
        let unknown =
            |name: &&str| AdapterId::new(*name).is_ok_and(|id| set.adapter(&id).is_none());
        for name in plan.adapters.exact_names().filter(unknown) {
            let expected = format!("known adapters, not {name}");
            faults.push(key_fault(file, section, "adapters", &expected));
        }
        let unknown =
            |name: &&str| ServiceName::new(*name).is_ok_and(|id| set.service(&id).is_none());
        for name in plan.services.exact_names().filter(unknown) {
            let expected = format!("known services, not {name}");
            faults.push(key_fault(file, section, "services", &expected));
        }
    }
}

fn check_models(file: &IniFile, set: &ListSet, faults: &mut Vec<FileFault>) {
    for (section, name) in sections_of(file, SectionKind::Model) {
        let model = ModelId::new(name).ok().and_then(|id| set.model(&id));
        let Some(model) = model else { continue };
        match set.service(&model.service) {
            None => faults.push(key_fault(file, section, "service", "a service of this list")),
            Some(service) if model.memory > service.memory => {
                let expected = format!("at most the {} of {}", service.memory, service.name);
                faults.push(key_fault(file, section, "memory", &expected));
            }
            Some(service) if model.replicas > service.replicas => {
                let expected = format!("at most the {} of {}", service.replicas, service.name);
                faults.push(key_fault(file, section, "replicas", &expected));
            }
            Some(_) => {}
        }
    }
}

fn check_adapters(file: &IniFile, set: &ListSet, faults: &mut Vec<FileFault>) {
    for (section, name) in sections_of(file, SectionKind::Adapter) {
        let adapter = AdapterId::new(name.as_str()).ok().and_then(|id| set.adapter(&id));
        let Some(adapter) = adapter else { continue };
        if set.model(&adapter.base).is_none() {
            faults.push(key_fault(file, section, "base", "a model of this list"));
        }
        if ModelId::new(name).is_ok_and(|id| set.model(&id).is_some()) {
            faults.push(section_fault(file, section, "a name that no model has"));
        }
    }
}

fn sections_of(file: &IniFile, kind: SectionKind) -> impl Iterator<Item = (&IniSection, String)> {
    file.sections.iter().filter_map(move |section| {
        let name = section.name.parse::<SectionName>().ok()?;
        (name.kind == kind).then_some((section, name.name))
    })
}

fn section_fault(file: &IniFile, section: &IniSection, expected: &str) -> FileFault {
    FileFault {
        file: file.name.clone(),
        line: section.line,
        section: section.name.clone(),
        key: String::new(),
        expected: expected.to_owned(),
    }
}

fn key_fault(file: &IniFile, section: &IniSection, key: &str, expected: &str) -> FileFault {
    let entry = section.entries.iter().find(|entry| entry.key == key);
    FileFault {
        line: entry.map_or(section.line, |entry| entry.line),
        key: key.to_owned(),
        ..section_fault(file, section, expected)
    }
}
