/** Selection of a backend server for a request, and the budget for retries. */
@NullMarked
package org.vanillaslip.internal.routing;

import org.jspecify.annotations.NullMarked;
