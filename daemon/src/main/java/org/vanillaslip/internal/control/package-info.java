/** Lease, placement and configuration controllers of a host. */
@NullMarked
package org.vanillaslip.internal.control;

import org.jspecify.annotations.NullMarked;
