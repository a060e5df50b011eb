/** Tests of the services for limits counted over all hosts. */
@NullMarked
package org.vanillaslip.internal.quota;

import org.jspecify.annotations.NullMarked;
