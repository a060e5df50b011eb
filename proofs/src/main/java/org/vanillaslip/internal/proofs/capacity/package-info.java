/** Measures the memory, time, bytes and calls on which {@code docs/CAPACITY.md} is based. */
@NullMarked
package org.vanillaslip.internal.proofs.capacity;

import org.jspecify.annotations.NullMarked;
