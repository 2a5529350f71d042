//! Reads settings files and service documents.

use std::fs::File;
use std::io::Read;
use std::path::Path;

use sapphireslip_core::DOCUMENT_MAX_BYTES;

use crate::Error;

/// Reads a file up to one byte more than [`DOCUMENT_MAX_BYTES`], so that a huge file is refused
/// quickly.
///
/// # Errors
///
/// [`Error::Read`] if the file can't be read.
pub(crate) fn read_document(path: &Path) -> Result<Vec<u8>, Error> {
    let read = |err| Error::Read(path.to_path_buf(), err);
    let limit = u64::try_from(DOCUMENT_MAX_BYTES)
        .unwrap_or(u64::MAX)
        .saturating_add(1);
    let mut bytes = Vec::new();
    File::open(path)
        .map_err(read)?
        .take(limit)
        .read_to_end(&mut bytes)
        .map_err(read)?;
    Ok(bytes)
}
