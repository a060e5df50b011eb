/** Benchmarks of single decisions; run by bin/benchmark, not by the tests. */
@NullMarked
package org.vanillaslip.internal.proofs.benchmarks;

import org.jspecify.annotations.NullMarked;
