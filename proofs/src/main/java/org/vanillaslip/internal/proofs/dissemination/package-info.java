/** Ways in which hosts may tell each other what they know, compared in virtual time. */
@NullMarked
package org.vanillaslip.internal.proofs.dissemination;

import org.jspecify.annotations.NullMarked;
