/**
 * Changes of the platform's collections as relays pass them on, so that few hosts read the platform
 * for the others. It decides from where a host learns of changes, not what they mean.
 */
@NullMarked
package org.vanillaslip.internal.changes;

import org.jspecify.annotations.NullMarked;
