/** The operators' tool {@code vanillaslip}. */
@NullMarked
package org.vanillaslip.internal.commandline;

import org.jspecify.annotations.NullMarked;
