/** Runs a small deployment as separate processes on loopback, for the demo and the scenarios. */
@NullMarked
package org.vanillaslip.internal.proofs.processes;

import org.jspecify.annotations.NullMarked;
