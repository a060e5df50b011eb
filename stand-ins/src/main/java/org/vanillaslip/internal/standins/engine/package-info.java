/** Stand-in for a model engine with switchable faults. */
@NullMarked
package org.vanillaslip.internal.standins.engine;

import org.jspecify.annotations.NullMarked;
