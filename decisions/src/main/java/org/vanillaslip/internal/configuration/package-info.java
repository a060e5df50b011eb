/** Merging and validation of configuration items. */
@NullMarked
package org.vanillaslip.internal.configuration;

import org.jspecify.annotations.NullMarked;
