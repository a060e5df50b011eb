/** At-most-once execution of non-repeatable calls that have an idempotency key. */
@NullMarked
package org.vanillaslip.internal.attempt;

import org.jspecify.annotations.NullMarked;
