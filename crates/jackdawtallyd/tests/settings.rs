//! Tests of the program's handling of its settings file.

use std::path::Path;
use std::process::{Command, Output};

fn run_check(settings: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_jackdawtallyd"))
        .arg("--settings")
        .arg(settings)
        .arg("--check")
        .output()
        .expect("the program starts")
}

#[test]
fn invalid_settings_exit_with_2_and_a_one_line_error() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("bad-settings.toml");
    std::fs::write(&path, "instance = \"a\"\ncolour = 1\n").expect("the folder is writable");

    let output = run_check(&path);

    let line = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        line.contains("bad-settings.toml") && line.contains("colour"),
        "{line}"
    );
    assert_eq!(line.trim().lines().count(), 1, "{line}");
}

#[test]
fn example_settings_are_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/jackdawtallyd.toml");

    let output = run_check(&path);

    assert_eq!(output.status.code(), Some(0), "{output:?}");
}
