/** Metrics of the daemon. */
@NullMarked
package org.vanillaslip.internal.metrics;

import org.jspecify.annotations.NullMarked;
