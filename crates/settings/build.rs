//! Compiles the schemas with a compiler written in Rust; no `protoc` is needed.

use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto");
    let descriptors = protox::compile(["headend.proto", "boxes.proto"], ["proto"])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out.join("schema.bin"), prost::Message::encode_to_vec(&descriptors))?;
    prost_build::Config::new().compile_fds(descriptors)?;
    Ok(())
}
