/** Stand-in of a plain service. */
@NullMarked
package org.vanillaslip.internal.standins.service;

import org.jspecify.annotations.NullMarked;
