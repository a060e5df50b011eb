/** Forwards requests to backend servers. */
@NullMarked
package org.vanillaslip.internal.backend.forward;

import org.jspecify.annotations.NullMarked;
