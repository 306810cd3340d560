//! The layout of a frame: one group of records under one checksum.
//!
//! A frame is the unit of one write and one sync, so a torn write can only corrupt the last frame.
//! Layout, little endian: magic (4), payload bytes (4), checksum (4), sequence (8), payload.

/// Marks the start of a frame.
const FRAME_MAGIC: [u8; 4] = *b"LNJ1";

/// Size of the header before the payload.
pub(crate) const HEADER_BYTES: usize = 20;

/// Maximum size of the payload of a frame.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// A decoded frame; `end` is the offset after it.
pub(crate) struct Frame<'a> {
    pub(crate) sequence: u64,
    pub(crate) payload: &'a [u8],
    pub(crate) end: usize,
}

/// Appends a frame to `out`.
pub(crate) fn encode_frame(sequence: u64, payload: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&FRAME_MAGIC);
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(sequence, payload).to_le_bytes());
    out.extend_from_slice(&sequence.to_le_bytes());
    out.extend_from_slice(payload);
}

/// Decodes the frame at `offset`; returns `None` if there is no complete, valid frame.
pub(crate) fn decode_frame(bytes: &[u8], offset: usize) -> Option<Frame<'_>> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    if header[..4] != FRAME_MAGIC {
        return None;
    }
    let length = read_u32(header, 4)? as usize;
    let sum = read_u32(header, 8)?;
    let sequence = u64::from_le_bytes(header.get(12..20)?.try_into().ok()?);
    if length > MAX_FRAME_BYTES {
        return None;
    }
    let start = offset + HEADER_BYTES;
    let payload = bytes.get(start..start + length)?;
    let is_valid = checksum(sequence, payload) == sum;
    is_valid.then_some(Frame {
        sequence,
        payload,
        end: start + length,
    })
}

/// Finds a valid frame at any offset from `from` on; used only after an invalid one was found.
pub(crate) fn find_frame(bytes: &[u8], from: usize) -> Option<usize> {
    let last = bytes.len().checked_sub(HEADER_BYTES)?;
    (from..=last).find(|offset| {
        bytes[*offset..].starts_with(&FRAME_MAGIC) && decode_frame(bytes, *offset).is_some()
    })
}

fn checksum(sequence: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&sequence.to_le_bytes());
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}
