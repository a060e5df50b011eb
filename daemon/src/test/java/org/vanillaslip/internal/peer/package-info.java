/** Tests of links between hosts, and simulated networks for tests of other packages. */
@NullMarked
package org.vanillaslip.internal.peer;

import org.jspecify.annotations.NullMarked;
