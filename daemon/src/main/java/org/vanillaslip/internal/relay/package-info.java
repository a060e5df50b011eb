/** Pass-through routes: requests and responses are relayed between callers and backend servers. */
@NullMarked
package org.vanillaslip.internal.relay;

import org.jspecify.annotations.NullMarked;
