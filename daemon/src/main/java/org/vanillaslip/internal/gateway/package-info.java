/** The callers' HTTP interface and the way of a request. */
@NullMarked
package org.vanillaslip.internal.gateway;

import org.jspecify.annotations.NullMarked;
