/** HTTP connections to backend servers. */
@NullMarked
package org.vanillaslip.internal.backend;

import org.jspecify.annotations.NullMarked;
