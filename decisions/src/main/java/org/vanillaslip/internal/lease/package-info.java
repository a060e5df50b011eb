/** The lease of a control shard, as pure functions of events and time. */
@NullMarked
package org.vanillaslip.internal.lease;

import org.jspecify.annotations.NullMarked;
