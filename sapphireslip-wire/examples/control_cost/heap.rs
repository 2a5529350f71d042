//! A global allocator that counts the bytes in use.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The bytes that are allocated at the moment.
static IN_USE: AtomicUsize = AtomicUsize::new(0);

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// The system's allocator with a count of the bytes in use.
struct CountingAllocator;

// SAFETY: every call is forwarded unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the contract of `alloc` is that of `System.alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the block came from `alloc` above, with this layout.
        unsafe { System.dealloc(block, layout) }
    }
}

/// Returns the number of bytes that are allocated at the moment.
pub fn bytes_in_use() -> usize {
    IN_USE.load(Ordering::Relaxed)
}
