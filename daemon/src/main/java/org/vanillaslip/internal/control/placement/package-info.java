/** Runs the decisions about control shards and knows what is loaded. */
@NullMarked
package org.vanillaslip.internal.control.placement;

import org.jspecify.annotations.NullMarked;
