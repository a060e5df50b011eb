@NullMarked
package org.vanillaslip.internal.relay;

import org.jspecify.annotations.NullMarked;
