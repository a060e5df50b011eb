/** Speeds of backend servers, estimated from the gaps between the events of their streams. */
@NullMarked
package org.vanillaslip.internal.speed;

import org.jspecify.annotations.NullMarked;
