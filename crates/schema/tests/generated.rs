//! Checks that the committed code is up to date with the schema.

use std::path::Path;

const FILE_NAME: &str = "jackdawtally.operators.v1.rs";

fn generate(out_dir: &Path) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let files = protox::compile(["operators.proto"], [&root]).expect("the schema should be valid");
    tonic_prost_build::configure()
        .out_dir(out_dir)
        .compile_fds(files)
        .expect("the code should be generated");
    std::fs::read_to_string(out_dir.join(FILE_NAME)).expect("the generated file should be readable")
}

#[test]
fn committed_code_matches_the_schema() {
    let committed = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("src/generated")
        .join(FILE_NAME);
    let out_dir = Path::new(env!("CARGO_TARGET_TMPDIR"));

    let generated = generate(out_dir);

    // To update the committed code after a change to the schema, run UPDATE_GENERATED=1 cargo test -p jackdawtally-schema
    if std::env::var_os("UPDATE_GENERATED").is_some() {
        std::fs::write(&committed, &generated).expect("the source directory should be writable");
    }
    let committed = std::fs::read_to_string(&committed).unwrap_or_default();
    assert!(
        generated == committed,
        "the committed code is out of date; run the test again with UPDATE_GENERATED=1"
    );
}
