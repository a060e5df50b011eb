/** Types shared by all modules: configuration items, configuration snapshot and result codes. */
@NullMarked
package org.vanillaslip;

import org.jspecify.annotations.NullMarked;
