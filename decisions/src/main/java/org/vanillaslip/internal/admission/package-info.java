/** Authentication and authorization of callers, and removal of their credentials. */
@NullMarked
package org.vanillaslip.internal.admission;

import org.jspecify.annotations.NullMarked;
