/** Stand-in for a plain service. */
@NullMarked
package org.vanillaslip.internal.standins.service;

import org.jspecify.annotations.NullMarked;
