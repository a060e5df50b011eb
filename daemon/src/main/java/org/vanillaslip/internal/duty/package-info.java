/**
 * Calls to the platform that one host at a time makes for the whole deployment: usage reports and
 * the number of backend servers.
 */
@NullMarked
package org.vanillaslip.internal.duty;

import org.jspecify.annotations.NullMarked;
