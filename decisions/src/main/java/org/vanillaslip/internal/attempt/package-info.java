/** Non-repeatable calls with an idempotency key. */
@NullMarked
package org.vanillaslip.internal.attempt;

import org.jspecify.annotations.NullMarked;
