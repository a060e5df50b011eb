/** Rules for HTTP responses that apply to all clients. */
@NullMarked
package org.vanillaslip.internal.http;

import org.jspecify.annotations.NullMarked;
