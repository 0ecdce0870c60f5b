//! What the program does with its settings.

use std::path::Path;
use std::process::{Command, Output};

fn check(settings: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_jackdawtallyd"))
        .arg("--settings")
        .arg(settings)
        .arg("--check")
        .output()
        .expect("the program runs")
}

#[test]
fn bad_settings_exit_with_2_and_one_line() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("bad-settings.toml");
    std::fs::write(&path, "instance = \"a\"\ncolour = 1\n").expect("a writable folder");

    let output = check(&path);

    let line = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        line.contains("bad-settings.toml") && line.contains("colour"),
        "{line}"
    );
    assert_eq!(line.trim().lines().count(), 1, "{line}");
}

#[test]
fn the_example_is_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/jackdawtallyd.toml");

    let output = check(&path);

    assert_eq!(output.status.code(), Some(0), "{output:?}");
}
