//! Generates the gRPC service between cells, without requiring a system-wide `protoc`.
fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/cells.proto");
    let files = protox::compile(["proto/cells.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(files)?;
    Ok(())
}
