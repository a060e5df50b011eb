/** Compares strategies for exchanging state between hosts in virtual time. */
@NullMarked
package org.vanillaslip.internal.proofs.dissemination;

import org.jspecify.annotations.NullMarked;
