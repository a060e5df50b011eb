/** Public types of vanillaslip: identities, the configuration snapshot, result codes. */
@NullMarked
package org.vanillaslip;

import org.jspecify.annotations.NullMarked;
