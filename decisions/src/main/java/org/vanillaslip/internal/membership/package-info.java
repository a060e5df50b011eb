/** Assignment of roles and keys to the hosts of a list. */
@NullMarked
package org.vanillaslip.internal.membership;

import org.jspecify.annotations.NullMarked;
