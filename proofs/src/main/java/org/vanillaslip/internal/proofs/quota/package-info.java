/** Compares quota policies on seeded requests in virtual time. */
@NullMarked
package org.vanillaslip.internal.proofs.quota;

import org.jspecify.annotations.NullMarked;
