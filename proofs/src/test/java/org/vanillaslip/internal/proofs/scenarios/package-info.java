/** Scenarios that run against a deployment of real processes on loopback. */
@NullMarked
package org.vanillaslip.internal.proofs.scenarios;

import org.jspecify.annotations.NullMarked;
