/** Connections and messages between hosts. */
@NullMarked
package org.vanillaslip.internal.peer;

import org.jspecify.annotations.NullMarked;
