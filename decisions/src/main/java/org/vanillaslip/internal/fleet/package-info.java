/** Load planning for model engines: demand, engine state, and the loads and unloads to order. */
@NullMarked
package org.vanillaslip.internal.fleet;

import org.jspecify.annotations.NullMarked;
