/** Tests of links between hosts, and a fake network for tests of other packages. */
@NullMarked
package org.vanillaslip.internal.peer;

import org.jspecify.annotations.NullMarked;
