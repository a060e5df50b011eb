/** Fair queueing of waiting requests, with limits and deadlines. */
@NullMarked
package org.vanillaslip.internal.queue;

import org.jspecify.annotations.NullMarked;
