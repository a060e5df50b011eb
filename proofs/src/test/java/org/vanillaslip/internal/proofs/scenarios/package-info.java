/** Scenarios over real processes on loopback. */
@NullMarked
package org.vanillaslip.internal.proofs.scenarios;

import org.jspecify.annotations.NullMarked;
