//! The committed generated code is what the generator gives.

use std::path::Path;

#[path = "../examples/generate.rs"]
#[allow(dead_code, reason = "its main function is not called")]
mod generate;

#[test]
fn generated_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    generate::generate(root, out).expect("generator runs");
    for file in ["sapphireslip.peer.rs", "sapphireslip.platform.rs"] {
        let fresh = std::fs::read_to_string(out.join(file)).expect("generated file");
        let committed = std::fs::read_to_string(root.join("src/generated").join(file));
        let committed = committed.expect("committed file");
        assert!(
            fresh == committed,
            "{file} is out of date: run `cargo run -p sapphireslip-wire --example generate`"
        );
    }
}
