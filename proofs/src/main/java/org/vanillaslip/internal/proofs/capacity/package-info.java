/** Slopes of memory, time, bytes and calls from which {@code docs/CAPACITY.md} is worked out. */
@NullMarked
package org.vanillaslip.internal.proofs.capacity;

import org.jspecify.annotations.NullMarked;
