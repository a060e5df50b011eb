/** Calls of each workspace in windows of time, which one host reports for the whole deployment. */
@NullMarked
package org.vanillaslip.internal.usage;

import org.jspecify.annotations.NullMarked;
