@NullMarked
package org.vanillaslip.internal.proofs.dissemination;

import org.jspecify.annotations.NullMarked;
