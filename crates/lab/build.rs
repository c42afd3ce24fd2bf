//! Compiles the schema of day files, which includes the headend's settings.

use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto");
    println!("cargo:rerun-if-changed=../settings/proto");
    let descriptors = protox::compile(["day.proto"], ["proto", "../settings/proto"])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out.join("schema.bin"), prost::Message::encode_to_vec(&descriptors))?;
    prost_build::Config::new()
        .extern_path(".ashglade.headend", "::ashglade_settings::schema::headend")
        .compile_fds(descriptors)?;
    Ok(())
}
