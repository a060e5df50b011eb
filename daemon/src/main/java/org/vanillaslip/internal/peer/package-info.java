/** Links between hosts and the messages they exchange. */
@NullMarked
package org.vanillaslip.internal.peer;

import org.jspecify.annotations.NullMarked;
