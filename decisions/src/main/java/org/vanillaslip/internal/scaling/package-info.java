/** Number of backend servers to order for each pool and failure domain. */
@NullMarked
package org.vanillaslip.internal.scaling;

import org.jspecify.annotations.NullMarked;
