//! Valid key files, and the errors reported for invalid ones.

use super::*;

fn secret_in(name: &str, text: &str) -> Result<Vec<u8>, KeyFileError> {
    let path = std::env::temp_dir().join(format!("milletpath-key-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let secret = read_secret(&path);
    std::fs::remove_file(&path).unwrap();
    secret
}

#[test]
fn white_space_around_a_secret_is_no_part_of_it() {
    let secret = "s".repeat(MIN_SECRET_BYTES);
    assert_eq!(secret_in("padded", &format!(" {secret}\n")).unwrap(), secret.as_bytes());
}

#[test]
fn a_short_secret_is_refused_with_its_length() {
    let error = secret_in("short", &format!("{}\n", "s".repeat(MIN_SECRET_BYTES - 1))).unwrap_err();
    assert!(error.to_string().ends_with("has 31 bytes; a key has 32 or more"), "{error}");
}

#[test]
fn a_missing_file_is_named_with_its_cause() {
    let error = read_secret(Path::new("/no/such/key")).unwrap_err();
    assert!(matches!(&error, KeyFileError::Read { source, .. } if source.kind() == io::ErrorKind::NotFound));
    assert!(error.to_string().starts_with("/no/such/key: "), "{error}");
}
