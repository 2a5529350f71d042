//! The numbers by which the shapes of prepared statements are known on connections to servers.

use std::collections::BTreeMap;
use std::fmt;
use std::num::NonZeroU64;
use std::sync::Arc;

use sapphireslip_core::{data, key};

use crate::Shape;

/// The number of shapes up to which those that nothing uses are kept, as they are likely to be used
/// again.
const SHAPES_KEPT: usize = 4_096;

key! {
    /// The number of a shape, the same on all connections. [`Shapes`] gives no number twice.
    pub struct ShapeNumber(NonZeroU64);
}

impl fmt::Display for ShapeNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

data! {
    /// A shape with its number.
    pub struct NumberedShape {
        /// The shape's number.
        pub number: ShapeNumber,
        /// The shape.
        pub shape: Shape,
    }

    /// The shapes that statements use, and those that are prepared on connections.
    ///
    /// A statement and a connection hold their numbered shapes themselves, so that forgetting one here
    /// changes no statement: a shape that is used again later gets another number.
    pub struct Shapes {
        known: BTreeMap<Shape, Arc<NumberedShape>>,
        /// The number that is given next.
        next: ShapeNumber,
        /// The number of shapes up to which unused ones are kept.
        kept: usize,
        /// The number of shapes at which the unused ones are forgotten.
        forget_at: usize,
    }
}

impl Default for Shapes {
    fn default() -> Self {
        Self::keeping(SHAPES_KEPT)
    }
}

impl Shapes {
    /// Returns an empty registry that keeps unused shapes while it has fewer than `kept` in all.
    #[must_use]
    pub const fn keeping(kept: usize) -> Self {
        Self {
            known: BTreeMap::new(),
            next: ShapeNumber(NonZeroU64::MIN),
            kept,
            forget_at: kept,
        }
    }

    /// Returns a shape with its number, which it gets if it has none.
    ///
    /// ```
    /// use sapphireslip_lead::{Shape, Shapes};
    /// let mut shapes = Shapes::default();
    /// let shape = Shape { writes: false, text: "q2c".into() };
    /// assert_eq!(shapes.numbered(&shape), shapes.numbered(&shape));
    /// ```
    pub fn numbered(&mut self, shape: &Shape) -> Arc<NumberedShape> {
        if let Some(known) = self.known.get(shape) {
            return Arc::clone(known);
        }
        if self.known.len() >= self.forget_at {
            self.known.retain(|_, shape| Arc::strong_count(shape) > 1);
            // Twice the shapes in use, so that a pass over them is rare.
            self.forget_at = (self.known.len() * 2).max(self.kept);
        }
        let numbered = Arc::new(NumberedShape {
            number: self.next,
            shape: shape.clone(),
        });
        // A daemon does not live to see 2^64 shapes.
        self.next = ShapeNumber(self.next.0.saturating_add(1));
        self.known.insert(shape.clone(), Arc::clone(&numbered));
        numbered
    }

    /// Returns the number of known shapes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no shape is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
