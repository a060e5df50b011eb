/** What a host serves on pass-through routes: one immutable snapshot per configuration version. */
@NullMarked
package org.vanillaslip.internal.serving;

import org.jspecify.annotations.NullMarked;
