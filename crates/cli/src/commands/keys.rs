//! `keys`: the authority of a cluster, keys of its processes, and tokens.

use {
    crate::{
        config::Config,
        error::CliError,
        options::{Keys, KeysAuthority, KeysCommand, KeysIssue},
        output::Form,
        report::Report,
    },
    rand::{TryRngCore, rngs::OsRng},
    std::{
        fs::{self, OpenOptions},
        io::Write,
        os::unix::fs::OpenOptionsExt,
        path::{Path, PathBuf},
    },
    sycamorerail_settings::{rules::is_name, token::token_sha256},
    sycamorerail_wire::keys::{self, PemPair},
};

/// Name of the authority's files, which no process may have.
const AUTHORITY: &str = "authority";
/// Random bytes of a token.
const TOKEN_BYTES: usize = 32;
/// Permissions of certificates.
const PUBLIC_MODE: u32 = 0o644;
/// Permissions of private keys.
const PRIVATE_MODE: u32 = 0o600;

pub(crate) fn run(options: &Keys, config: &Config) -> eyre::Result<Report> {
    match &options.command {
        KeysCommand::Authority(options) => authority(options, config),
        KeysCommand::Issue(options) => issue(options, config),
        KeysCommand::Token(_) => token(config),
    }
}

fn authority(options: &KeysAuthority, config: &Config) -> eyre::Result<Report> {
    check_name("--cluster", &options.cluster)?;
    let pair = keys::generate_authority(&options.cluster).map_err(CliError::Keys)?;
    write_pair(&options.dir, AUTHORITY, &pair, config)
}

fn issue(options: &KeysIssue, config: &Config) -> eyre::Result<Report> {
    check_name("--name", &options.name)?;
    if options.name == AUTHORITY {
        let text = format!("--name: found {AUTHORITY:?}, which names the authority's files");
        return Err(CliError::Usage(text).into());
    }
    let authority = PemPair {
        certificate_pem: read(&certificate_path(&options.dir, AUTHORITY))?,
        key_pem: read(&key_path(&options.dir, AUTHORITY))?,
    };
    let pair =
        keys::issue_certificate(&authority, options.role, &options.name).map_err(CliError::Keys)?;
    write_pair(&options.dir, &options.name, &pair, config)
}

fn token(config: &Config) -> eyre::Result<Report> {
    let mut random = [0; TOKEN_BYTES];
    OsRng.try_fill_bytes(&mut random)?;
    let token: String = random.iter().map(|byte| format!("{byte:02x}")).collect();
    let token_sha256 = token_sha256(&token);
    Ok(Report::ok(match config.form {
        Form::Text => format!("token: {token}\ntoken_sha256: {token_sha256}\n"),
        Form::Json => {
            let body = serde_json::json!({"token": token, "token_sha256": token_sha256});
            format!("{body}\n")
        }
    }))
}

fn check_name(option: &str, name: &str) -> Result<(), CliError> {
    if is_name(name) {
        return Ok(());
    }
    Err(CliError::Usage(format!("{option}: found {name:?}; allowed: 1 to 64 of a-z 0-9 _ -")))
}

fn certificate_path(dir: &Path, name: &str) -> PathBuf {
    dir.join(format!("{name}.pem"))
}

fn key_path(dir: &Path, name: &str) -> PathBuf {
    dir.join(format!("{name}.key.pem"))
}

fn read(path: &Path) -> Result<String, CliError> {
    fs::read_to_string(path).map_err(|err| CliError::Read(path.to_owned(), err))
}

/// Writes both files of a pair, the private key first: a certificate without
/// its key would look whole.
fn write_pair(dir: &Path, name: &str, pair: &PemPair, config: &Config) -> eyre::Result<Report> {
    fs::create_dir_all(dir).map_err(|err| CliError::Write(dir.to_owned(), err))?;
    let (certificate, key) = (certificate_path(dir, name), key_path(dir, name));
    write_new(&key, &pair.key_pem, PRIVATE_MODE)?;
    write_new(&certificate, &pair.certificate_pem, PUBLIC_MODE)?;
    Ok(Report::ok(match config.form {
        Form::Text => format!("certificate: {}\nkey: {}\n", certificate.display(), key.display()),
        Form::Json => {
            let body = serde_json::json!({"certificate": certificate, "key": key});
            format!("{body}\n")
        }
    }))
}

fn write_new(path: &Path, text: &str, mode: u32) -> Result<(), CliError> {
    let opened = OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    opened
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|err| CliError::Write(path.to_owned(), err))
}
