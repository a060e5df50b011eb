/** Choice of a backend server and the budget for retries. */
@NullMarked
package org.vanillaslip.internal.routing;

import org.jspecify.annotations.NullMarked;
