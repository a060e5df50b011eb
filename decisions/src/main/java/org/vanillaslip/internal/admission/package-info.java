/** Who a caller is, what the caller may use, and what may be forwarded. */
@NullMarked
package org.vanillaslip.internal.admission;

import org.jspecify.annotations.NullMarked;
