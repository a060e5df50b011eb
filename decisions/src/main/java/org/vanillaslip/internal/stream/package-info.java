/** Splitting of event streams and assembly of answers that arrive in parts. */
@NullMarked
package org.vanillaslip.internal.stream;

import org.jspecify.annotations.NullMarked;
