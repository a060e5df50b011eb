/** Which host of a list is responsible for what. */
@NullMarked
package org.vanillaslip.internal.membership;

import org.jspecify.annotations.NullMarked;
