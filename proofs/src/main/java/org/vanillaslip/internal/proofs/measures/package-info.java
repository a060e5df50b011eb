/** Measures of the policies in virtual time, with tables and charts. */
@NullMarked
package org.vanillaslip.internal.proofs.measures;

import org.jspecify.annotations.NullMarked;
