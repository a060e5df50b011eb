/** Seeded comparison of quota policies in virtual time. */
@NullMarked
package org.vanillaslip.internal.proofs.quota;

import org.jspecify.annotations.NullMarked;
