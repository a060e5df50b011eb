/** Waiting requests: fairness, bounds and deadlines. */
@NullMarked
package org.vanillaslip.internal.queue;

import org.jspecify.annotations.NullMarked;
