package org.vanillaslip.internal.control.placement;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.internal.placement.ShardRecord;

/**
 * Content of a placement digest.
 *
 * @param record the stored record; null in a heartbeat to a host that has confirmed the version
 * @param servers summaries of the last reports of the servers
 */
record DigestBody(@Nullable ShardRecord record, List<ServerSummary> servers) {

    DigestBody {
        servers = List.copyOf(servers);
    }
}
