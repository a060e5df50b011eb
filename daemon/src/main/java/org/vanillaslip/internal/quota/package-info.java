/** Limits shared by all hosts: workspace quotas, slots on starting servers and share tables. */
@NullMarked
package org.vanillaslip.internal.quota;

import org.jspecify.annotations.NullMarked;
