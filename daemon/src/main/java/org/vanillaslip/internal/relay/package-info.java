/** Pass-through routes: requests go unchanged to backend servers, answers unchanged to callers. */
@NullMarked
package org.vanillaslip.internal.relay;

import org.jspecify.annotations.NullMarked;
