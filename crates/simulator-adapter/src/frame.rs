//! Reads the frames of the simulator's protocol. A frame is a length in four bytes, big endian, followed by
//! content of that length.

use std::io::Read;

use anyhow::{bail, Result};

const LENGTH_BYTES: u64 = 4;

/// Reads the content of the next frame. Returns `None` if the input ends between frames.
///
/// # Errors
///
/// The input ends inside a frame or cannot be read.
pub(crate) fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>> {
    let mut length = Vec::new();
    input.by_ref().take(LENGTH_BYTES).read_to_end(&mut length)?;
    let length = match <[u8; 4]>::try_from(length.as_slice()) {
        Ok(length) => u32::from_be_bytes(length),
        Err(_) if length.is_empty() => return Ok(None),
        Err(_) => bail!("input ends after {} of the {LENGTH_BYTES} bytes of a frame's length", length.len()),
    };
    let mut content = Vec::new();
    input.by_ref().take(length.into()).read_to_end(&mut content)?;
    if content.len() < length as usize {
        bail!("input ends after {} of the {length} bytes of a frame's content", content.len());
    }
    Ok(Some(content))
}
