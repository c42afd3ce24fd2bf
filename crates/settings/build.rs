//! Compiles the schemas with `protox`, a protobuf compiler written in Rust, so that building needs no
//! `protoc`.

use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto");
    let descriptors = protox::compile(["headend.proto", "boxes.proto"], ["proto"])?;
    let out_dir = PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out_dir.join("schema.bin"), prost::Message::encode_to_vec(&descriptors))?;
    prost_build::Config::new().compile_fds(descriptors)?;
    Ok(())
}
