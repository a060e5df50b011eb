/** Reads and validates the settings file of the daemon. */
@NullMarked
package org.vanillaslip.internal.settings;

import org.jspecify.annotations.NullMarked;
