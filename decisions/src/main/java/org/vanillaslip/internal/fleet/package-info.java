/** Backend servers of pass-through routes: what they hold, and which of them takes a call. */
@NullMarked
package org.vanillaslip.internal.fleet;

import org.jspecify.annotations.NullMarked;
