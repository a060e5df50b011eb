/** The demo: a whole deployment in separate processes, with checked answers. */
@NullMarked
package org.vanillaslip.internal.proofs.demo;

import org.jspecify.annotations.NullMarked;
