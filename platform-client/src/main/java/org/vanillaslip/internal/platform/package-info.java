/** Client of the platform's object API. */
@NullMarked
package org.vanillaslip.internal.platform;

import org.jspecify.annotations.NullMarked;
