/** Numbered log events and their output. */
@NullMarked
package org.vanillaslip.internal.logging;

import org.jspecify.annotations.NullMarked;
