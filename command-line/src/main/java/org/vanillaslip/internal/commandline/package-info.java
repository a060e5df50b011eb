/** The command line tool {@code vanillaslip} for operators. */
@NullMarked
package org.vanillaslip.internal.commandline;

import org.jspecify.annotations.NullMarked;
