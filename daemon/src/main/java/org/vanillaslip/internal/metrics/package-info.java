/** The metrics of the daemon, and wrappers that record them. */
@NullMarked
package org.vanillaslip.internal.metrics;

import org.jspecify.annotations.NullMarked;
