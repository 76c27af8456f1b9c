//! Resident memory of this process.

/// Page size, in KiB, on the machines that run the tests.
const PAGE_KB: u64 = 4;

/// Returns the resident memory in KiB; 0 if `/proc/self/statm` cannot be read.
pub(super) fn resident_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE_KB
}
