/** Parts of prompts under which backend servers crash. */
@NullMarked
package org.vanillaslip.internal.quarantine;

import org.jspecify.annotations.NullMarked;
