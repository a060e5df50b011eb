@NullMarked
package org.vanillaslip.internal.changes;

import org.jspecify.annotations.NullMarked;
