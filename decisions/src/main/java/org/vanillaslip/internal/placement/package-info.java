/** Placement decisions of a control shard, as pure functions of state, events and time. */
@NullMarked
package org.vanillaslip.internal.placement;

import org.jspecify.annotations.NullMarked;
