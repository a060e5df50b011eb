/** HTTP interface for callers: reads requests, queues them and forwards them to backend servers. */
@NullMarked
package org.vanillaslip.internal.gateway;

import org.jspecify.annotations.NullMarked;
