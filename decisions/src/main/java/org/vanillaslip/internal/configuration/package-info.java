/** Merges configuration items by version and validates them into a snapshot. */
@NullMarked
package org.vanillaslip.internal.configuration;

import org.jspecify.annotations.NullMarked;
