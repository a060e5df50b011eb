/** Tests of the limits shared by all hosts. */
@NullMarked
package org.vanillaslip.internal.quota;

import org.jspecify.annotations.NullMarked;
