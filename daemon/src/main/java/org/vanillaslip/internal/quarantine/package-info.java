/** Detection of prompt parts under which backend servers crash, shared by all hosts. */
@NullMarked
package org.vanillaslip.internal.quarantine;

import org.jspecify.annotations.NullMarked;
