/** Stand-in for a model engine with fault injection. */
@NullMarked
package org.vanillaslip.internal.standins.engine;

import org.jspecify.annotations.NullMarked;
