//! Checks that the committed generated code is up to date with the `.proto` files.

use std::path::Path;

#[path = "../examples/generate.rs"]
#[allow(dead_code, reason = "its main function is not called")]
mod generate;

#[test]
fn generated_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    generate::generate(root, out).expect("the generator succeeds");
    for file in ["sapphireslip.peer.rs", "sapphireslip.platform.rs"] {
        let fresh =
            std::fs::read_to_string(out.join(file)).expect("the generated file is readable");
        let committed = std::fs::read_to_string(root.join("src/generated").join(file));
        let committed = committed.expect("the committed file is readable");
        assert!(
            fresh == committed,
            "{file} is out of date: run `cargo run -p sapphireslip-wire --example generate`"
        );
    }
}
