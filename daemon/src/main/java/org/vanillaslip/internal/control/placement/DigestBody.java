package org.vanillaslip.internal.control.placement;

import java.util.List;
import org.vanillaslip.internal.placement.ShardRecord;

/** Content of a placement digest: the stored record and what the servers last reported. */
record DigestBody(ShardRecord record, List<ServerSummary> servers) {

    DigestBody {
        servers = List.copyOf(servers);
    }
}
