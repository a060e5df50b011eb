/** Policies for loads of pass-through serving, compared in virtual time. */
@NullMarked
package org.vanillaslip.internal.proofs.loads;

import org.jspecify.annotations.NullMarked;
