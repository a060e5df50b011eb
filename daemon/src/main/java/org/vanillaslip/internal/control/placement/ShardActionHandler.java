package org.vanillaslip.internal.control.placement;

import org.vanillaslip.internal.placement.Order;
import org.vanillaslip.internal.placement.ShardEvent;
import org.vanillaslip.internal.placement.ShardRecord;

/** Executes the actions of a shard's state machine other than calls to the platform. */
interface ShardActionHandler {

    /** Sends an order to its server. */
    void sendOrder(Order order);

    /** Sends the stored record to the other hosts of the failure domain. */
    void publishRecord(String shard, long version, ShardRecord record);

    /** Logs a decision or outcome. */
    void logEvent(ShardEvent event);

    /** Logs that a stored record cannot be read. */
    void logUnreadableRecord(String shard, long version);
}
