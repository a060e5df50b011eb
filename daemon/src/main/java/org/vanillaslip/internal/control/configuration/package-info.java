/** Keeps this host's configuration and host list up to date from the platform and from peers. */
@NullMarked
package org.vanillaslip.internal.control.configuration;

import org.jspecify.annotations.NullMarked;
