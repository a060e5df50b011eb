/** Limits counted over all hosts: quotas of workspaces, slots of fresh servers, share tables. */
@NullMarked
package org.vanillaslip.internal.quota;

import org.jspecify.annotations.NullMarked;
