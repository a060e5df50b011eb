/**
 * Backend servers of pass-through routes: directory, queue of waiting calls, and orders to load
 * models.
 */
@NullMarked
package org.vanillaslip.internal.fleet;

import org.jspecify.annotations.NullMarked;
