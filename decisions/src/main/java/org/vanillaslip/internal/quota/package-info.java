/**
 * Quotas that apply to all hosts together. Amounts are in micro-tokens (millionths of a quota
 * token), so that shares of small limits stay exact.
 */
@NullMarked
package org.vanillaslip.internal.quota;

import org.jspecify.annotations.NullMarked;
