/** Tests of quotas that apply to all hosts together. */
@NullMarked
package org.vanillaslip.internal.quota;

import org.jspecify.annotations.NullMarked;
