/** Compares model load policies for pass-through serving in virtual time. */
@NullMarked
package org.vanillaslip.internal.proofs.loads;

import org.jspecify.annotations.NullMarked;
