/**
 * Forwards changes of the platform's collections through relays, so that few hosts watch the
 * platform for all others. Decides from where a host reads changes, not how they are interpreted.
 */
@NullMarked
package org.vanillaslip.internal.changes;

import org.jspecify.annotations.NullMarked;
