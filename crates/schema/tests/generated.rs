//! The committed code is what the schema generates.

use std::path::Path;

const NAME: &str = "jackdawtally.operators.v1.rs";

fn generate(out: &Path) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let files = protox::compile(["operators.proto"], [&root]).expect("a valid schema");
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(files)
        .expect("code for the schema");
    std::fs::read_to_string(out.join(NAME)).expect("generated code")
}

#[test]
fn committed_code_matches_the_schema() {
    let committed = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("src/generated")
        .join(NAME);
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));

    let generated = generate(out);

    // To take over a change of the schema: UPDATE_GENERATED=1 cargo test -p jackdawtally-schema
    if std::env::var_os("UPDATE_GENERATED").is_some() {
        std::fs::write(&committed, &generated).expect("writable tree");
    }
    let committed = std::fs::read_to_string(&committed).unwrap_or_default();
    assert!(generated == committed, "run again with UPDATE_GENERATED=1");
}
