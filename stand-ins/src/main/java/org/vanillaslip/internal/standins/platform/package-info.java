/** Stand-in for the platform's object API, callable in process and over HTTP. */
@NullMarked
package org.vanillaslip.internal.standins.platform;

import org.jspecify.annotations.NullMarked;
