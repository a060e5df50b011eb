/** Startup, wiring and shutdown of the daemon. */
@NullMarked
package org.vanillaslip.internal.runtime;

import org.jspecify.annotations.NullMarked;
