//! What a template must fulfil before it is published or put in force.

use {
    crate::envelope::MAX_YAML_BYTES,
    sycamorerail_settings::{FieldError, SettingsErrors, template::Template},
};

/// Reads and checks the template of an organisation.
///
/// # Errors
///
/// All that is wrong with it, at once.
pub fn validate(organisation: &str, yaml: &str) -> Result<Template, SettingsErrors> {
    if yaml.len() > MAX_YAML_BYTES {
        let error = FieldError {
            path: sycamorerail_settings::DOCUMENT_PATH.to_owned(),
            problem: format!("found {} bytes", yaml.len()),
            allowed: format!("at most {MAX_YAML_BYTES} bytes"),
        };
        return Err(SettingsErrors { errors: vec![error] });
    }
    let template = Template::read(yaml)?;
    if template.organisation == organisation {
        return Ok(template);
    }
    let error = FieldError {
        path: "organisation".to_owned(),
        problem: format!("found {:?}", template.organisation),
        allowed: format!("{organisation:?}, the name it is published under"),
    };
    Err(SettingsErrors { errors: vec![error] })
}
