/** Numbered log events. */
@NullMarked
package org.vanillaslip.internal.logging;

import org.jspecify.annotations.NullMarked;
