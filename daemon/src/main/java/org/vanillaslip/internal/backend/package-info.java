/** HTTP clients that send orders to backend servers and read their status. */
@NullMarked
package org.vanillaslip.internal.backend;

import org.jspecify.annotations.NullMarked;
