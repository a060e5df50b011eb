/** Immutable snapshots of the pass-through configuration: routes, pools and workspaces. */
@NullMarked
package org.vanillaslip.internal.serving;

import org.jspecify.annotations.NullMarked;
