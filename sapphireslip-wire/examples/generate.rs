//! Generates Rust code from the `.proto` files into `src/generated`, or into the directory given as
//! the first argument.

use std::path::{Path, PathBuf};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = std::env::args()
        .nth(1)
        .map_or_else(|| root.join("src/generated"), PathBuf::from);
    generate(root, &out)
}

/// Compiles the files in `root/proto` and writes one Rust file for each of their packages into
/// `out`.
///
/// # Errors
///
/// A `.proto` file is invalid, or a file can't be read or written.
pub fn generate(root: &Path, out: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let proto = root.join("proto");
    let files = ["peer.proto", "platform.proto"].map(|file| proto.join(file));
    let descriptors = protox::compile(files, [&proto])?;
    let mut config = tonic_prost_build::Config::new();
    config.bytes(["."]);
    tonic_prost_build::configure()
        .out_dir(out)
        .build_transport(true)
        .compile_fds_with_config(descriptors, config)?;
    Ok(())
}
