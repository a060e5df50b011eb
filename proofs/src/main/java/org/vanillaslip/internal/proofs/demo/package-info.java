/** A demo that starts a complete deployment in separate processes and checks its answers. */
@NullMarked
package org.vanillaslip.internal.proofs.demo;

import org.jspecify.annotations.NullMarked;
